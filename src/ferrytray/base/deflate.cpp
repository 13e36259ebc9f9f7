#include "ferrytray/base/deflate.hpp"

#include <zlib.h> // for compress2, uncompress

namespace ferrytray::base {

std::string Deflate(std::string_view aBytes)
{
  uLongf size = compressBound(aBytes.size());
  std::string compressed(size, '\0');
  compress2(reinterpret_cast<Bytef*>(compressed.data()),
            &size,
            reinterpret_cast<const Bytef*>(aBytes.data()),
            aBytes.size(),
            Z_BEST_SPEED);
  compressed.resize(size);
  return compressed;
}

std::optional<std::string> Inflate(std::string_view aBytes, std::size_t aSize)
{
  std::string bytes(aSize, '\0');
  uLongf size = aSize;
  const int result = uncompress(reinterpret_cast<Bytef*>(bytes.data()),
                                &size,
                                reinterpret_cast<const Bytef*>(aBytes.data()),
                                aBytes.size());
  return result == Z_OK && size == aSize ? std::optional(std::move(bytes)) : std::nullopt;
}

} // namespace ferrytray::base
