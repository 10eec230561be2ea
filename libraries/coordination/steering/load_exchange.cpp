#include "coltsfootlock/coordination/steering/load_exchange.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>

namespace coltsfootlock {

load_exchange_limits
exchange_limits(std::size_t other_domains)
{
  if (other_domains <= max_other_domains) {
    return {};
  }
  return { 24, 14, 8, 4, 2 * load_window };
}

std::vector<std::string>
choose_asked_domains(const std::string& own_domain, std::vector<std::string> domains, std::size_t limit)
{
  if (domains.size() > limit) {
    domains = rendezvous_order(hash_text(own_domain), domains);
    domains.resize(limit);
  }
  std::sort(domains.begin(), domains.end());
  return domains;
}

}
