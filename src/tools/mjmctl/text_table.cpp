#include "text_table.h"

#include <algorithm>

namespace mjm {

namespace {

bool is_control(char c)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    const auto value = static_cast<unsigned char>(c);
    return value < first_printable || value == del;
}

} // namespace

void text_table::add_row(std::vector<std::string> cells)
{
    cells.resize(header_.size());
    // A comment written by someone else must not move the terminal's cursor.
    for (std::string& cell : cells)
        std::replace_if(cell.begin(), cell.end(), is_control, ' ');
    rows_.push_back(std::move(cells));
}

std::string text_table::text() const
{
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < header_.size(); ++i) {
        widths.push_back(header_[i].size());
        for (const std::vector<std::string>& row : rows_)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string out;
    const auto add_line = [&out, &widths](const std::vector<std::string>& cells) {
        std::string line;
        for (std::size_t i = 0; i < cells.size(); ++i)
            line += cells[i] + std::string(widths[i] - cells[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + '\n';
    };
    add_line(header_);
    for (const std::vector<std::string>& row : rows_)
        add_line(row);
    return out;
}

} // namespace mjm
