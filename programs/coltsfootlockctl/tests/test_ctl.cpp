#include "check_command.h"
#include "ctl_arguments.h"
#include "daemon_commands.h"
#include "free_address.h"

#include "coltsfootlock/transport/rpc_server.h"

#include <chrono>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace coltsfootlock;

namespace {

constexpr const char* valid_catalogue = R"({
  "version": 1,
  "failure_domains": [ { "name": "a", "in_service": true } ],
  "services": [ { "name": "feed", "owner": "team", "class": "urgent", "address": "10.20.0.1:7001",
    "target_group": "group",
    "limits": { "slots": 4, "connections": 20, "cold_slots": 1, "cold_connections": 2, "warm_up_seconds": 10 },
    "request_timeout_ms": 2000, "queue_limit": 256 } ]
})";

constexpr const char* list_without_targets = R"({ "version": 1, "targets": [],
  "entries": [ { "id": "vm-1", "domain": "a", "state": "live", "packet_address": "127.0.0.1:4000",
    "peer_address": "127.0.0.1:4001", "call_address": "127.0.0.1:4002" } ]
})";

std::optional<ctl_arguments>
parse(std::vector<std::string> arguments)
{
  arguments.insert(arguments.begin(), "coltsfootlockctl");
  error why;
  return ctl_arguments::parse(arguments, why);
}

/// Writes the file, checks it and returns the exit code.
exit_code
check(const std::string& text, const std::string& vms, std::string& output)
{
  std::ofstream("catalogue-of-test") << text;
  std::ofstream("vms-of-test") << vms;
  std::ostringstream stream;
  const auto code = check_command(*parse({ "check", "catalogue-of-test", "--vms", "vms-of-test" }), stream);
  output = stream.str();
  std::remove("catalogue-of-test");
  std::remove("vms-of-test");
  return code;
}

/// Accepts connections and never responds.
class silent_listener
{
public:
  silent_listener()
    : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in system{};
    system.sin_family = AF_INET;
    system.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(::bind(descriptor_, reinterpret_cast<sockaddr*>(&system), sizeof(system)) == 0);
    BOOST_REQUIRE(::listen(descriptor_, 8) == 0);
    socklen_t length = sizeof(system);
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&system), &length);
    address = { INADDR_LOOPBACK, ntohs(system.sin_port) };
  }

  ~silent_listener() { ::close(descriptor_); }

  endpoint address;

private:
  int descriptor_;
};

}

BOOST_AUTO_TEST_SUITE(ctl)

// Guards against arguments that are ignored or misinterpreted, and against a parser that throws.
BOOST_AUTO_TEST_CASE(arguments_are_checked)
{
  BOOST_TEST(parse({ "check", "file" }).has_value());
  BOOST_TEST(parse({ "status", "127.0.0.1:1", "127.0.0.1:2", "--json" })->daemons.size() == 2U);
  const auto explain =
    parse({ "explain", "127.0.0.1:1", "--caller", "1.2.3.4:5", "--service", "1.2.3.4:6", "--key", "k" });
  BOOST_TEST_REQUIRE(explain.has_value());
  BOOST_TEST(explain->key == "k");
  BOOST_TEST(explain->service.port == 6);
  for (const std::vector<std::string>& wrong : std::vector<std::vector<std::string>>{
         {},
         { "stop" },
         { "check" },
         { "check", "one", "two" },
         { "check", "one", "--caller", "1.2.3.4:5" },
         { "status" },
         { "status", "host" },
         { "status", "127.0.0.1:1", "--vms", "file" },
         { "status", "127.0.0.1:1", "--unknown" },
         { "explain", "127.0.0.1:1", "--caller", "1.2.3.4:5" },
         { "explain", "127.0.0.1:1", "127.0.0.1:2", "--caller", "1.2.3.4:5", "--service", "1.2.3.4:6" } }) {
    BOOST_TEST(!parse(wrong));
  }
}

// Guards against a deployment script that publishes an invalid catalogue because the exit code indicates success.
BOOST_AUTO_TEST_CASE(exit_codes_distinguish_errors_from_warnings)
{
  std::string output;
  BOOST_TEST((check("{", list_without_targets, output) == exit_code::refused), output);
  BOOST_TEST(output.find("error: catalogue-of-test") != std::string::npos, output);
  BOOST_TEST((check(valid_catalogue, "{", output) == exit_code::refused), output);
  BOOST_TEST((check(valid_catalogue, list_without_targets, output) == exit_code::warnings), output);
  BOOST_TEST(output.find("warning: ") != std::string::npos, output);
  std::ostringstream stream;
  BOOST_TEST((check_command(*parse({ "check", "/nonexistent" }), stream) == exit_code::unreadable));
}

// Guards against a status command that hangs or omits a daemon while one daemon is down and one is silent.
BOOST_AUTO_TEST_CASE(status_shows_daemons_that_do_not_answer)
{
  const endpoint up = free_address();
  rpc_server server;
  server.add_method("status", [](const std::string&, error&) {
    return std::optional<std::string>(R"({"vm_id":"vm-1","state":"serving","targets":5,"members":[{"alive":true}]})");
  });
  error why;
  BOOST_REQUIRE(server.listen(up, why));
  const silent_listener silent;
  const std::string down = to_string(free_address());
  std::ostringstream table;
  const auto arguments = parse({ "status", to_string(up), to_string(silent.address), down });
  BOOST_TEST((status_command(*arguments, table) == exit_code::unavailable));
  BOOST_TEST(table.str().find("vm-1") != std::string::npos, table.str());
  BOOST_TEST(table.str().find(down + "  -") != std::string::npos, table.str());
  BOOST_TEST(table.str().find("no answer") != std::string::npos, table.str());
}

BOOST_AUTO_TEST_SUITE_END()
