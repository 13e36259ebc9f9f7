#pragma once

#include <asio/io_context.hpp> // for io_context
#include <asio/signal_set.hpp> // for signal_set

namespace ferrytray::net {

/// Holds the Asio objects of a Loop, to keep Asio out of the public header.
class LoopImpl
{
public:
  asio::io_context m_context{ 1 };
  asio::signal_set m_terminationSignals{ m_context };
  asio::signal_set m_hangupSignals{ m_context };
};

} // namespace ferrytray::net
