# cmake --install gives a CMake package of the decision parts (layers 0 to 2):
# what others embed. The daemons are installed as programs.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

set(embeddable base blocks limits once config membership control routing replay)
foreach(name ${embeddable})
  install(TARGETS ferrytray_${name} EXPORT ferrytrayTargets
          ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY "include/ferrytray/${name}" DESTINATION include/ferrytray)
endforeach()
install(TARGETS expected EXPORT ferrytrayTargets)
install(EXPORT ferrytrayTargets NAMESPACE ferrytray::
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/ferrytray)
configure_package_config_file(cmake/ferrytrayConfig.cmake.in
  "${CMAKE_BINARY_DIR}/ferrytrayConfig.cmake"
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/ferrytray)
write_basic_package_version_file("${CMAKE_BINARY_DIR}/ferrytrayConfigVersion.cmake"
  COMPATIBILITY SameMinorVersion)
install(FILES "${CMAKE_BINARY_DIR}/ferrytrayConfig.cmake"
              "${CMAKE_BINARY_DIR}/ferrytrayConfigVersion.cmake"
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/ferrytray)
install(TARGETS ferrytray-gate ferrytray-keeper ferrytray-cli ferrytray-load
        RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
