#pragma once

#include <cstring>     // for memcpy
#include <stdexcept>   // for length_error
#include <string_view> // for string_view
#include <type_traits> // for is_arithmetic_v

#include <cereal/archives/binary.hpp> // for BinaryOutputArchive
#include <cereal/cereal.hpp>          // for InputArchive, SizeTag, BinaryData

namespace ferrytray::net {

/// @brief Reads the output of cereal's BinaryOutputArchive and rejects sizes that exceed the
/// remaining bytes, so that a damaged datagram cannot make a host allocate gigabytes.
class BoundedInputArchive
  : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
  explicit BoundedInputArchive(std::string_view aBytes)
    : InputArchive(this)
    , m_remaining(aBytes)
  {
  }

  void Load(void* aDestination, std::size_t aSize)
  {
    if (aSize > m_remaining.size()) {
      throw std::length_error("unexpected end of archive");
    }
    if (aSize == 0) {
      return;
    }
    std::memcpy(aDestination, m_remaining.data(), aSize);
    m_remaining.remove_prefix(aSize);
  }

  void CheckCount(std::uint64_t aCount) const
  {
    if (aCount > m_remaining.size()) {
      throw std::length_error("element count exceeds the remaining bytes");
    }
  }

private:
  std::string_view m_remaining;
};

template<typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, T& aValue)
{
  aArchive.Load(&aValue, sizeof(aValue));
}

template<typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, cereal::BinaryData<T>& aData)
{
  aArchive.Load(aData.data, static_cast<std::size_t>(aData.size));
}

template<typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& aArchive, cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& aArchive, cereal::SizeTag<T>& aTag)
{
  aArchive(aTag.size);
  aArchive.CheckCount(aTag.size);
}

} // namespace ferrytray::net

// CEREAL_SETUP_ARCHIVE_TRAITS maps both ways, but the output archive already has a counterpart.
template<>
struct cereal::traits::detail::get_output_from_input<ferrytray::net::BoundedInputArchive>
{
  using type = cereal::BinaryOutputArchive;
};
