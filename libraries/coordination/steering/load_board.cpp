#include "coltsfootlock/coordination/steering/load_board.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace coltsfootlock {

namespace {

using row_sums = std::map<vm_id, target_load>;

void
add_rows(row_sums& sums, const std::vector<target_load>& rows)
{
  for (const target_load& row : rows) {
    target_load& sum = sums[row.target];
    sum.answers = std::min(sum.answers + row.answers, load_limits::max_answers);
    const auto max_ms = static_cast<std::uint64_t>(load_limits::max_answer_time.count()) * sum.answers;
    sum.answer_ms = std::min(sum.answer_ms + row.answer_ms, max_ms);
  }
}

std::vector<target_load>
rows_of(const row_sums& sums)
{
  std::vector<target_load> result;
  result.reserve(sums.size());
  for (const auto& [target, sum] : sums) {
    result.push_back({ target, sum.answers, sum.answer_ms });
  }
  return result;
}

}

std::vector<target_load>
largest_rows(std::vector<target_load> rows, std::size_t max_rows)
{
  if (rows.size() > max_rows) {
    const auto end = rows.begin() + static_cast<std::ptrdiff_t>(max_rows);
    std::nth_element(rows.begin(), end, rows.end(), [](const target_load& left, const target_load& right) {
      return std::tie(right.answer_ms, left.target) < std::tie(left.answer_ms, right.target);
    });
    rows.erase(end, rows.end());
  }
  std::sort(rows.begin(), rows.end());
  return rows;
}

load_board::load_board(std::string domain)
  : domain_(std::move(domain))
{
}

void
load_board::set_own(std::vector<target_load> rows, bool loaded, instant now)
{
  own_ = { { std::move(rows), loaded, 0 }, now };
}

bool
load_board::on_message(const vm_id& follower, load_message message, instant now)
{
  std::erase_if(followers_, [now](const auto& item) { return !is_fresh(item.second.at, now); });
  if (message.depth > max_depth || (followers_.size() >= max_followers && !followers_.contains(follower))) {
    return false;
  }
  message.rows = largest_rows(std::move(message.rows), load_limits::max_rows);
  followers_[follower] = { std::move(message), now };
  return true;
}

load_message
load_board::message_for(const vm_id& source, std::size_t max_rows, instant now) const
{
  load_message result;
  row_sums sums;
  if (is_fresh(own_.at, now)) {
    add_rows(sums, own_.message.rows);
    result.loaded = own_.message.loaded;
  }
  for (const auto& [id, received] : followers_) {
    if (id == source || !is_fresh(received.at, now) || received.message.depth >= max_depth) {
      continue;
    }
    add_rows(sums, received.message.rows);
    result.loaded = result.loaded || received.message.loaded;
    result.depth = std::max(result.depth, received.message.depth + 1);
  }
  result.rows = largest_rows(rows_of(sums), std::min(max_rows, load_limits::max_rows));
  return result;
}

bool
load_board::on_source_totals(load_totals totals, instant now)
{
  if (totals.age > max_load_view_age) {
    return false;
  }
  totals_at_ = now - std::max(totals.age, milliseconds(0));
  totals.number = ++number_;
  totals_ = std::move(totals);
  return true;
}

bool
load_board::on_domain_total(const std::string& domain, std::vector<target_load> rows, milliseconds age, instant now)
{
  std::erase_if(domains_, [now](const auto& item) { return !is_fresh(item.second.at, now); });
  if (domain == domain_ || age > max_load_view_age || (domains_.size() >= max_domains && !domains_.contains(domain))) {
    return false;
  }
  domains_[domain] = { { largest_rows(std::move(rows), load_limits::max_rows), false, 0 },
                       now - std::max(age, milliseconds(0)) };
  return true;
}

void
load_board::publish(std::size_t max_own, std::size_t max_foreign, instant now)
{
  row_sums own;
  if (is_fresh(own_.at, now)) {
    add_rows(own, own_.message.rows);
  }
  for (const auto& [id, received] : followers_) {
    if (is_fresh(received.at, now)) {
      add_rows(own, received.message.rows);
    }
  }
  row_sums foreign;
  for (const auto& [domain, received] : domains_) {
    if (is_fresh(received.at, now)) {
      add_rows(foreign, received.message.rows);
    }
  }
  totals_ = load_totals{ ++number_,
                         milliseconds(0),
                         domain_,
                         largest_rows(rows_of(own), std::min(max_own, load_limits::max_rows)),
                         largest_rows(rows_of(foreign), std::min(max_foreign, load_limits::max_rows)) };
  totals_at_ = now;
}

bool
load_board::loaded(instant now) const
{
  return (own_.message.loaded && is_fresh(own_.at, now)) ||
         std::any_of(followers_.begin(), followers_.end(), [now](const auto& item) {
           return item.second.message.loaded && is_fresh(item.second.at, now);
         });
}

std::optional<load_totals>
load_board::totals(instant now) const
{
  if (!totals_ || !is_fresh(totals_at_, now)) {
    return std::nullopt;
  }
  load_totals result = *totals_;
  // Rounded up, so that the totals are not used for longer with each daemon that they pass.
  result.age = std::chrono::ceil<milliseconds>(now - totals_at_);
  return result;
}

std::optional<load_totals>
load_board::totals_after(std::uint64_t number, instant now) const
{
  return number == number_ ? std::nullopt : totals(now);
}

load_totals
load_board::domain_total(instant now) const
{
  load_totals result{ 0, milliseconds(0), domain_, {}, {} };
  // The source may belong to another domain, which reports its total itself.
  if (auto known = totals(now); known && known->domain == domain_) {
    result.age = known->age;
    result.own = std::move(known->own);
  }
  return result;
}

std::vector<target_load_view>
load_board::views(instant now) const
{
  std::vector<target_load_view> result;
  if (!totals_ || !is_fresh(totals_at_, now)) {
    return result;
  }
  row_sums sums;
  add_rows(sums, totals_->own);
  add_rows(sums, totals_->foreign);
  result.reserve(sums.size());
  for (const auto& [target, sum] : sums) {
    const auto answers = std::max<std::uint64_t>(sum.answers, 1);
    result.push_back({ target,
                       static_cast<double>(sum.answer_ms) / static_cast<double>(load_window.count()),
                       sum.answers,
                       milliseconds(static_cast<milliseconds::rep>(sum.answer_ms / answers)) });
  }
  return result;
}

std::size_t
load_board::followers(instant now) const
{
  return static_cast<std::size_t>(std::count_if(
    followers_.begin(), followers_.end(), [now](const auto& item) { return is_fresh(item.second.at, now); }));
}

void
load_board::on_pause()
{
  own_ = {};
  followers_.clear();
  domains_.clear();
  totals_.reset();
}

}
