#include "coltsfootlock/transport/log.h"

#include "counting_overflow.h"
#include "waiting_lines.h"

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>

#include <algorithm>
#include <atomic>
#include <string>

namespace coltsfootlock {

namespace {

constexpr std::size_t most_waiting_lines = 8192;

using backend = boost::log::sinks::text_ostream_backend;
using frontend =
  boost::log::sinks::asynchronous_sink<backend,
                                       boost::log::sinks::bounded_fifo_queue<most_waiting_lines, counting_overflow>>;

boost::shared_ptr<frontend>&
active_sink()
{
  static boost::shared_ptr<frontend> sink;
  return sink;
}

/// Keeps formatted lines until they are flushed.
class memory_backend : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
  explicit memory_backend(int descriptor)
    : lines_(descriptor)
  {
  }

  void consume(const boost::log::record_view&, const std::string& line) { lines_.add(line); }

  waiting_lines& lines() { return lines_; }

private:
  waiting_lines lines_;
};

using unthreaded_frontend = boost::log::sinks::synchronous_sink<memory_backend>;

boost::shared_ptr<unthreaded_frontend>&
unthreaded_sink()
{
  static boost::shared_ptr<unthreaded_frontend> sink;
  return sink;
}

/// Levels from this one on are written; one past the highest level while the log is stopped.
std::atomic<int> lowest_level{ static_cast<int>(log_level::error) + 1 };

void
format_record(const boost::log::record_view& record, boost::log::formatting_ostream& line)
{
  const auto time = boost::log::extract<boost::posix_time::ptime>("TimeStamp", record);
  const auto level = boost::log::extract<log_level>("Severity", record);
  if (!time || !level) {
    return;
  }
  std::string text = boost::posix_time::to_iso_extended_string(time.get());
  if (text.find('.') == std::string::npos) {
    text += ".000000"; // Boost omits the fraction of a whole second.
  }
  line << text << "Z " << to_string(level.get()) << ' ' << record[boost::log::expressions::smessage];
}

std::string
one_line(std::string_view message)
{
  std::string result(message);
  std::replace_if(
    result.begin(), result.end(), [](unsigned char character) { return character < 0x20 || character == 0x7f; }, ' ');
  return result;
}

}

void
start_log(std::ostream& output, log_level lowest)
{
  stop_log();
  const auto destination = boost::make_shared<backend>();
  destination->add_stream(boost::shared_ptr<std::ostream>(&output, [](std::ostream*) {}));
  destination->auto_flush(true);
  active_sink() = boost::make_shared<frontend>(destination);
  active_sink()->set_formatter(&format_record);
  boost::log::core::get()->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
  boost::log::core::get()->add_sink(active_sink());
  lowest_level = static_cast<int>(lowest);
}

void
start_unthreaded_log(int descriptor, log_level lowest)
{
  stop_log();
  unthreaded_sink() = boost::make_shared<unthreaded_frontend>(boost::make_shared<memory_backend>(descriptor));
  unthreaded_sink()->set_formatter(&format_record);
  boost::log::core::get()->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
  boost::log::core::get()->add_sink(unthreaded_sink());
  lowest_level = static_cast<int>(lowest);
}

void
flush_log()
{
  if (unthreaded_sink()) {
    unthreaded_sink()->locked_backend()->lines().flush();
  }
}

void
stop_log()
{
  lowest_level = static_cast<int>(log_level::error) + 1;
  if (unthreaded_sink()) {
    flush_log();
    boost::log::core::get()->remove_sink(unthreaded_sink());
    unthreaded_sink().reset();
  }
  if (!active_sink()) {
    return;
  }
  boost::log::core::get()->remove_sink(active_sink());
  active_sink()->stop();
  active_sink()->flush();
  active_sink().reset();
}

void
write_log(log_level level, std::string_view part, std::string_view message)
{
  if (static_cast<int>(level) < lowest_level) {
    return;
  }
  // One logger per thread, because a shared one would need a lock for each line.
  thread_local boost::log::sources::severity_logger<log_level> logger;
  boost::log::record record = logger.open_record(boost::log::keywords::severity = level);
  if (!record) {
    return;
  }
  boost::log::record_ostream stream(record);
  stream << part << ": " << one_line(message);
  stream.flush();
  logger.push_record(std::move(record));
}

std::uint64_t
dropped_log_lines()
{
  return counting_overflow::dropped() + waiting_lines::dropped();
}

}
