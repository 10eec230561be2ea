#include "text_table.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

text_table::text_table(std::vector<std::string> header)
  : rows_{ std::move(header) }
{
}

void
text_table::add(std::vector<std::string> row)
{
  row.resize(rows_.front().size());
  rows_.push_back(std::move(row));
}

void
text_table::write(std::ostream& output) const
{
  std::vector<std::size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += row[column] + std::string(widths[column] - row[column].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    output << line << '\n';
  }
}

}
