#include "coltsfootlock/protocol/relay_codec.h"
#include "mutation.h"
#include "seed.h"

#include <memory>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;
using coltsfootlock::testing::mutate;
using coltsfootlock::testing::number_from_environment;
using coltsfootlock::testing::test_seed;

namespace {

std::string
some_response()
{
  target_record target;
  target.vm.id = "t-1";
  target.vm.domain = "a";
  target.vm.target_group = "feed";
  auto value = std::make_shared<catalogue>();
  value->version = 7;
  service entry;
  entry.name = "feed";
  entry.target_group = "feed";
  entry.split = { { "feed", 9 }, { "cards", 1 } };
  value->services = { entry };
  value->cold_starts = { { "feed", 2.5 } };
  const std::vector<record_change> changes{ { 1, target_published{ target } },
                                            { 2, target_removed{ "t-2" } },
                                            { 3, catalogue_published{ value } },
                                            { 4, domain_switched{ "a", false } } };
  return encode_response(encode_changes(changes), 4, { milliseconds(3), milliseconds(5) }, { { { "t-9", 1, {} } }, 1 });
}

}

BOOST_AUTO_TEST_SUITE(hostile_messages)

// Guards against a message of another process that ends this one. COLTSFOOTLOCK_RUNS sets the number of messages.
BOOST_AUTO_TEST_CASE(changed_messages_are_decoded_or_refused)
{
  const std::uint64_t seed = test_seed();
  const std::uint64_t runs = number_from_environment("COLTSFOOTLOCK_RUNS", 20000);
  std::mt19937_64 random(seed);
  const std::string response = some_response();
  const std::string members = encode_member_list({ { { "entry-1", "a", { 0x0a000001, 80 }, 10000 } }, 17 });
  std::size_t refused = 0;
  for (std::uint64_t run = 0; run < runs; ++run) {
    const std::string changed = mutate(response, random);
    refused += std::holds_alternative<call_failed>(decode_page(changed)) ? 1 : 0;
    refused += std::holds_alternative<call_failed>(decode_events(changed)) ? 1 : 0;
    error why;
    const bool decoded = decode_member_list(mutate(members, random), why).has_value();
    BOOST_TEST((decoded || !why.message.empty()), "COLTSFOOTLOCK_SEED=" << seed << " run " << run);
  }
  BOOST_TEST_MESSAGE(3 * runs << " messages, " << refused << " responses refused");
  BOOST_TEST(refused > runs / 4);
}

BOOST_AUTO_TEST_SUITE_END()
