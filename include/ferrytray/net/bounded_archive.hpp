#pragma once

#include <cstring>     // for memcpy
#include <stdexcept>   // for length_error
#include <string_view> // for string_view
#include <type_traits> // for is_arithmetic_v

#include <cereal/archives/binary.hpp> // for BinaryOutputArchive
#include <cereal/cereal.hpp>          // for InputArchive, SizeTag, BinaryData

namespace ferrytray::net {

/// @brief Reads what cereal's BinaryOutputArchive wrote, and believes no size that the bytes left
/// could not hold: a damaged datagram must not make a host allocate gigabytes.
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
      throw std::length_error("too short");
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
      throw std::length_error("impossible size");
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

// cereal's own macro would pair the two both ways, and the output archive has its pair already.
template<>
struct cereal::traits::detail::get_output_from_input<ferrytray::net::BoundedInputArchive>
{
  using type = cereal::BinaryOutputArchive;
};
