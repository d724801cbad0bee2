#pragma once

#include "settings/settings_errors.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Type-erased form of a schema; programs use `settings_schema`.
namespace mjm::settings_detail {

enum class field_kind { string, integer, real, boolean, duration_ms, enumeration, ip_address, list, group };

using field_value = std::variant<std::string, std::int64_t, double, bool>;

class field_table;

struct field {
    field_kind kind = field_kind::string;
    std::string key;
    std::string description;
    bool required = false;
    bool expected = false; ///< Its absence is an error, but there is a default.
    std::int64_t min = 0;  ///< Integer, milliseconds, string length in bytes or number of list items.
    std::int64_t max = 0;
    double real_min = 0;
    double real_max = 0;
    std::vector<std::string> names;                       ///< Allowed names of an enumeration.
    std::function<bool(const std::string& text)> accepts; ///< Further condition on a string; may be null.
    std::string form;                                     ///< Describes that condition.
    std::function<void(void* object, const field_value& value)> store;
    std::function<field_value(const void* object)> load;
    std::shared_ptr<const field_table> items;     ///< Of a list's items or a group.
    std::function<void*(void* object)> member;    ///< A group's object, or a new item of a list.
    std::function<void(void* object)> clear_list; ///< Removes the default items.
    std::function<const void*(const void* object)> read_member; ///< A group's object, to read defaults.
};

struct rule {
    std::vector<std::string> keys;
    std::function<std::optional<std::string>(const void* object)> broken; ///< Returns what is allowed.
};

class field_table {
public:
    /// Throws std::logic_error for a key that is declared twice.
    void add(field f);
    void add(rule r) { rules_.push_back(std::move(r)); }
    void accept_generated() { generated_ = true; }
    [[nodiscard]] bool generated() const { return generated_; }
    [[nodiscard]] const std::vector<field>& fields() const { return fields_; }
    [[nodiscard]] const std::vector<rule>& rules() const { return rules_; }

private:
    std::vector<field> fields_;
    std::vector<rule> rules_;
    bool generated_ = false;
};

/// Stores what can be used, and returns an error for everything else.
[[nodiscard]] settings_errors read_text(const field_table& table, const std::string& file,
                                        const std::string& text, void* object);
/// Reads the file's text; reports `unreadable`.
[[nodiscard]] std::optional<settings_error> read_file(const std::string& file, std::string& text);
[[nodiscard]] std::string markdown(const field_table& table, const void* defaults);

} // namespace mjm::settings_detail
