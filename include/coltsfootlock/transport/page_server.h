#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <poll.h>

namespace coltsfootlock {

struct page
{
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers{}; ///< Further headers, by name.

  auto operator<=>(const page&) const = default;
};

/// The part of a request that its page depends on.
struct page_request
{
  std::map<std::string, std::string> query; ///< Values are taken as they are, without decoding.
  instant arrived;

  auto operator<=>(const page_request&) const = default;
};

/// Answers GET requests with pages, without threads and without blocking. For health pages and metrics on VMs
/// with a small part of a core.
class page_server
{
public:
  /// Empty while the request has to wait; it is then asked again at each `advance`.
  using handler = std::function<std::optional<page>(const page_request&, instant now)>;

  /// Listens on `local`; empty with the reason in `why` on failure.
  static std::optional<page_server> listen(const endpoint& local, error& why);

  page_server(page_server&&) noexcept;
  page_server& operator=(page_server&&) noexcept;
  ~page_server();

  /// The bound address, with the actual port.
  endpoint local() const;

  void add_page(const std::string& path, handler make);

  /// Bytes of answers that the connections have taken since the start, and those that wait to be taken.
  std::uint64_t sent_bytes() const;
  std::size_t unsent_bytes() const;

  /// Appends the descriptors to wait for.
  void add_descriptors(std::vector<pollfd>& wanted) const;

  /// Serves the connections that are ready, and the waiting requests whose pages are. `polled`: the descriptors of the
  /// last `add_descriptors` after poll(). Connections without a complete request for a while are closed.
  void advance(std::span<const pollfd> polled, instant now);

private:
  struct implementation;
  explicit page_server(std::unique_ptr<implementation> parts);
  std::unique_ptr<implementation> implementation_;
};

}
