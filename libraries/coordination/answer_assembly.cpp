#include "answer_assembly.h"

#include <utility>

namespace coltsfootlock {

bool
answer_assembly::add(const answer_packet& segment)
{
  if (segment.segment_count == 0 || segment.segment_count > max_answer_segments) {
    return false;
  }
  if (segments_.empty()) {
    segments_.resize(segment.segment_count);
  }
  if (segment.segment_count != segments_.size() || segment.segment >= segments_.size()) {
    return false;
  }
  std::optional<std::string>& stored = segments_[segment.segment];
  if (stored || bytes_ + segment.payload.size() > max_answer_bytes) {
    return false;
  }
  stored = segment.payload;
  bytes_ += segment.payload.size();
  ++received_;
  return true;
}

std::vector<std::string>
answer_assembly::take()
{
  std::vector<std::string> payloads;
  payloads.reserve(segments_.size());
  for (std::optional<std::string>& segment : segments_) {
    payloads.push_back(std::move(segment).value_or(std::string()));
  }
  return payloads;
}

}
