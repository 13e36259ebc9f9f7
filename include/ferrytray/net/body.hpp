#pragma once

#include <cstddef>     // for size_t
#include <memory>      // for shared_ptr
#include <string>      // for string
#include <string_view> // for string_view
#include <utility>     // for move

namespace ferrytray::net {

/// @brief The body of a message. Its bytes never change, so copies share them.
class Body
{
public:
  Body() = default;
  // NOLINTBEGIN(google-explicit-constructor): a body is used like the string that it holds
  Body(std::string aBytes)
    : m_bytes(aBytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(aBytes)))
  {
  }
  Body(const char* aText)
    : Body(std::string(aText))
  {
  }
  operator const std::string&() const { return Bytes(); }
  operator std::string_view() const { return Bytes(); }
  // NOLINTEND(google-explicit-constructor)

  /// @brief A body that belongs to another object, which stays alive while copies of it exist.
  static Body Share(std::shared_ptr<const std::string> aBytes)
  {
    Body body;
    body.m_bytes = std::move(aBytes);
    return body;
  }

  [[nodiscard]] const std::string& Bytes() const
  {
    static const std::string none;
    return m_bytes ? *m_bytes : none;
  }
  // NOLINTBEGIN(readability-identifier-naming): as in std::string
  [[nodiscard]] std::size_t size() const { return Bytes().size(); }
  [[nodiscard]] bool empty() const { return Bytes().empty(); }
  [[nodiscard]] const char* c_str() const { return Bytes().c_str(); }
  // NOLINTEND(readability-identifier-naming)

  friend bool operator==(const Body& aLeft, std::string_view aRight)
  {
    return aLeft.Bytes() == aRight;
  }

private:
  std::shared_ptr<const std::string> m_bytes; ///< null: empty
};

} // namespace ferrytray::net
