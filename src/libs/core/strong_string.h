#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace mjm {

/// String identifier that cannot be mixed up with another kind of identifier.
template <typename Tag>
class strong_string {
public:
    strong_string() = default;
    explicit strong_string(std::string value) : value_{std::move(value)} {}

    [[nodiscard]] const std::string& str() const { return value_; }
    [[nodiscard]] bool empty() const { return value_.empty(); }

    friend bool operator==(const strong_string&, const strong_string&) = default;
    friend auto operator<=>(const strong_string&, const strong_string&) = default;
    friend std::ostream& operator<<(std::ostream& out, const strong_string& id) { return out << id.value_; }

private:
    std::string value_;
};

} // namespace mjm

template <typename Tag>
struct std::hash<mjm::strong_string<Tag>> {
    std::size_t operator()(const mjm::strong_string<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};
