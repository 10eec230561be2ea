#pragma once

#include <boost/log/core/record_view.hpp>

#include <atomic>
#include <cstdint>

namespace coltsfootlock {

/// Overflow strategy of a Boost.Log queue that drops the line and counts it.
class counting_overflow
{
public:
  static std::uint64_t dropped() { return count(); }

protected:
  template<typename Lock>
  static bool on_overflow(const boost::log::record_view& /*record*/, Lock& /*lock*/)
  {
    ++count();
    return false;
  }

  static void on_queue_space_available() {}
  static void interrupt() {}

private:
  static std::atomic<std::uint64_t>& count()
  {
    static std::atomic<std::uint64_t> lines{ 0 };
    return lines;
  }
};

}
