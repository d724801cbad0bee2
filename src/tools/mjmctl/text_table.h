#pragma once

#include <string>
#include <vector>

namespace mjm {

/// Columns of text, aligned to the left and separated by two spaces.
class text_table {
public:
    explicit text_table(std::vector<std::string> header) : header_{std::move(header)} {}

    /// A row that is too short is filled with empty cells. Control characters become spaces.
    void add_row(std::vector<std::string> cells);
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::string> header_;
    std::vector<std::vector<std::string>> rows_;
};

} // namespace mjm
