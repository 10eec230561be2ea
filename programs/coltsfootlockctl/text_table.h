#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace coltsfootlock {

/// A table with aligned columns for output on a terminal.
class text_table
{
public:
  explicit text_table(std::vector<std::string> header);

  void add(std::vector<std::string> row);
  void write(std::ostream& output) const;

private:
  std::vector<std::vector<std::string>> rows_;
};

}
