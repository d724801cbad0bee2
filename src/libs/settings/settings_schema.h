#pragma once

#include "core/enum_names.h"
#include "core/time_types.h"
#include "settings/settings_fields.h"

#include <tl/expected.hpp>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace mjm {

/// Whether a key may be left out. The member's initial value is then used, unless the key is required.
enum class presence {
    optional,
    expected, ///< Its absence is reported.
    required,
};

/// The usable part of a settings text. All other members keep their initial values.
template <typename S>
struct settings_reading {
    S settings;
    settings_errors errors;

    /// Whether the program can't run with these settings.
    [[nodiscard]] bool is_fatal() const
    {
        return std::any_of(errors.begin(), errors.end(), [](const settings_error& e) { return e.fatal; });
    }
    /// Whether the file was missing or incomplete, as while it is being replaced.
    [[nodiscard]] bool is_incomplete() const
    {
        return std::any_of(errors.begin(), errors.end(), [](const settings_error& e) {
            return e.code == settings_errc::unreadable || e.code == settings_errc::not_json;
        });
    }
};

/// Declares the JSON keys of a settings struct. Defaults are the member initialisers of `S`.
///
///     settings_schema<http_settings> schema;
///     schema.integer("port", &http_settings::port, 1, 65535, "Port to listen on.")
///           .check({"min", "max"}, [](const http_settings& s) -> std::optional<std::string> { ... });
template <std::default_initializable S>
class settings_schema {
public:
    /// `min` and `max` are lengths in bytes. `Text` is std::string or a strong_string.
    template <typename Text>
    settings_schema& string(std::string key, Text S::*member, std::string description, std::size_t min = 0,
                            std::size_t max = 4096, presence needed = presence::optional)
    {
        return text_field(settings_detail::field_kind::string, std::move(key), member, std::move(description),
                          min, max, needed);
    }

    template <std::integral Int>
    settings_schema& integer(std::string key, Int S::*member, std::int64_t min, std::int64_t max,
                             std::string description, presence needed = presence::optional)
    {
        field f = base(settings_detail::field_kind::integer, std::move(key), std::move(description), needed);
        // A range beyond the member's type would store a truncated value.
        f.min = std::in_range<Int>(min) ? min : static_cast<std::int64_t>(std::numeric_limits<Int>::min());
        f.max = std::in_range<Int>(max) ? max : static_cast<std::int64_t>(std::numeric_limits<Int>::max());
        f.store = [member](void* object, const value& v) {
            static_cast<S*>(object)->*member = static_cast<Int>(std::get<std::int64_t>(v));
        };
        f.load = [member](const void* object) {
            return value{static_cast<std::int64_t>(static_cast<const S*>(object)->*member)};
        };
        table_->add(std::move(f));
        return *this;
    }

    settings_schema& real(std::string key, double S::*member, double min, double max, std::string description,
                          presence needed = presence::optional)
    {
        field f = base(settings_detail::field_kind::real, std::move(key), std::move(description), needed);
        f.real_min = min;
        f.real_max = max;
        f.store = [member](void* object, const value& v) {
            static_cast<S*>(object)->*member = std::get<double>(v);
        };
        f.load = [member](const void* object) { return value{static_cast<const S*>(object)->*member}; };
        table_->add(std::move(f));
        return *this;
    }

    settings_schema& boolean(std::string key, bool S::*member, std::string description,
                             presence needed = presence::optional)
    {
        field f = base(settings_detail::field_kind::boolean, std::move(key), std::move(description), needed);
        f.store = [member](void* object, const value& v) {
            static_cast<S*>(object)->*member = std::get<bool>(v);
        };
        f.load = [member](const void* object) { return value{static_cast<const S*>(object)->*member}; };
        table_->add(std::move(f));
        return *this;
    }

    /// The JSON value is a whole number of milliseconds, or any number in a generated text; the key should
    /// end in `_ms`.
    settings_schema& milliseconds(std::string key, duration S::*member, std::chrono::milliseconds min,
                                  std::chrono::milliseconds max, std::string description,
                                  presence needed = presence::optional)
    {
        field f =
            base(settings_detail::field_kind::duration_ms, std::move(key), std::move(description), needed);
        f.min = min.count();
        f.max = max.count();
        f.store = [member](void* object, const value& v) {
            static_cast<S*>(object)->*member =
                std::holds_alternative<double>(v)
                    ? std::chrono::duration_cast<duration>(
                          std::chrono::duration<double, std::milli>{std::get<double>(v)})
                    : duration{std::chrono::milliseconds{std::get<std::int64_t>(v)}};
        };
        f.load = [member](const void* object) {
            const duration d = static_cast<const S*>(object)->*member;
            return value{std::int64_t{std::chrono::duration_cast<std::chrono::milliseconds>(d).count()}};
        };
        table_->add(std::move(f));
        return *this;
    }

    /// The JSON value is a name from `enum_names<Enum>`.
    template <typename Enum>
    settings_schema& enumeration(std::string key, Enum S::*member, std::string description,
                                 presence needed = presence::optional)
    {
        field f =
            base(settings_detail::field_kind::enumeration, std::move(key), std::move(description), needed);
        for (const std::pair<Enum, std::string_view>& entry : enum_names<Enum>::entries)
            f.names.emplace_back(entry.second);
        f.store = [member](void* object, const value& v) {
            if (const std::optional<Enum> parsed = parse_enum<Enum>(std::get<std::string>(v)))
                static_cast<S*>(object)->*member = *parsed;
        };
        f.load = [member](const void* object) {
            return value{std::string{name_of(static_cast<const S*>(object)->*member)}};
        };
        table_->add(std::move(f));
        return *this;
    }

    /// A string for which `accepts` returns true; `form` describes such a string.
    template <typename Text>
    settings_schema& matching(std::string key, Text S::*member, std::string form,
                              std::function<bool(const std::string&)> accepts, std::string description,
                              presence needed = presence::optional)
    {
        field f = base(settings_detail::field_kind::string, std::move(key), std::move(description), needed);
        f.max = std::numeric_limits<std::int64_t>::max();
        f.accepts = std::move(accepts);
        f.form = std::move(form);
        return add_text(std::move(f), member);
    }

    /// A numeric IPv4 or IPv6 address; host names are rejected.
    template <typename Text>
    settings_schema& ip_address(std::string key, Text S::*member, std::string description,
                                presence needed = presence::optional)
    {
        return text_field(settings_detail::field_kind::ip_address, std::move(key), member,
                          std::move(description), 0, 0, needed);
    }

    /// A JSON array of objects; it replaces the default items. `min` and `max` are numbers of items.
    template <typename Item>
    settings_schema& list(std::string key, std::vector<Item> S::*member, const settings_schema<Item>& items,
                          std::size_t min, std::size_t max, std::string description,
                          presence needed = presence::optional)
    {
        field f = base(settings_detail::field_kind::list, std::move(key), std::move(description), needed);
        f.min = static_cast<std::int64_t>(min);
        f.max = static_cast<std::int64_t>(max);
        f.items = items.table();
        f.member = [member](void* object) -> void* {
            return &(static_cast<S*>(object)->*member).emplace_back();
        };
        f.clear_list = [member](void* object) { (static_cast<S*>(object)->*member).clear(); };
        f.read_member = [](const void*) -> const void* {
            static const Item defaults{};
            return &defaults;
        };
        f.load = [member](const void* object) {
            return value{static_cast<std::int64_t>((static_cast<const S*>(object)->*member).size())};
        };
        table_->add(std::move(f));
        return *this;
    }

    /// A nested JSON object.
    template <typename Group>
    settings_schema& group(std::string key, Group S::*member, const settings_schema<Group>& fields,
                           std::string description, presence needed = presence::optional)
    {
        field f = base(settings_detail::field_kind::group, std::move(key), std::move(description), needed);
        f.items = fields.table();
        f.member = [member](void* object) -> void* { return &(static_cast<S*>(object)->*member); };
        f.read_member = [member](const void* object) -> const void* {
            return &(static_cast<const S*>(object)->*member);
        };
        table_->add(std::move(f));
        return *this;
    }

    /// A rule over several keys. `broken` returns what is allowed when the values contradict each other. It
    /// is not evaluated when one of the keys already has an error of its own.
    template <typename Rule>
    settings_schema& check(std::vector<std::string> keys, Rule broken)
    {
        table_->add(settings_detail::rule{std::move(keys), [broken](const void* object) {
                                              return std::optional<std::string>{
                                                  broken(*static_cast<const S*>(object))};
                                          }});
        return *this;
    }

    /// Accepts the text of a generator that knows neither types nor limits of the keys: null stands for a
    /// missing value, numbers of any kind for whole ones, and numbers above the largest allowed one for that.
    settings_schema& accept_generated()
    {
        table_->accept_generated();
        return *this;
    }

    /// Reads what can be used of a JSON text; `file` only names the source in errors.
    [[nodiscard]] settings_reading<S> read(const std::string& text, const std::string& file) const
    {
        settings_reading<S> out;
        out.errors = settings_detail::read_text(*table_, file, text, &out.settings);
        return out;
    }

    [[nodiscard]] settings_reading<S> read_file(const std::string& file) const
    {
        std::string text;
        if (std::optional<settings_error> error = settings_detail::read_file(file, text))
            return {S{}, {std::move(*error)}};
        return read(text, file);
    }

    /// Reads settings from JSON text; `file` only names the source in errors. Returns all errors found.
    [[nodiscard]] tl::expected<S, settings_errors> parse(const std::string& text,
                                                         const std::string& file) const
    {
        return whole(read(text, file));
    }

    [[nodiscard]] tl::expected<S, settings_errors> load(const std::string& file) const
    {
        return whole(read_file(file));
    }

    /// Table with one row per key: key, type, default, allowed values and description.
    [[nodiscard]] std::string markdown() const
    {
        const S defaults{};
        return settings_detail::markdown(*table_, &defaults);
    }

    [[nodiscard]] std::shared_ptr<const settings_detail::field_table> table() const { return table_; }

private:
    using field = settings_detail::field;
    using value = settings_detail::field_value;

    static tl::expected<S, settings_errors> whole(settings_reading<S> reading)
    {
        if (!reading.errors.empty())
            return tl::make_unexpected(std::move(reading.errors));
        return std::move(reading.settings);
    }

    static field base(settings_detail::field_kind kind, std::string key, std::string description,
                      presence needed)
    {
        field f;
        f.kind = kind;
        f.key = std::move(key);
        f.description = std::move(description);
        f.required = needed == presence::required;
        f.expected = needed == presence::expected;
        return f;
    }

    template <typename Text>
    settings_schema& text_field(settings_detail::field_kind kind, std::string key, Text S::*member,
                                std::string description, std::size_t min, std::size_t max, presence needed)
    {
        field f = base(kind, std::move(key), std::move(description), needed);
        f.min = static_cast<std::int64_t>(min);
        f.max = static_cast<std::int64_t>(max);
        return add_text(std::move(f), member);
    }

    template <typename Text>
    settings_schema& add_text(field f, Text S::*member)
    {
        f.store = [member](void* object, const value& v) {
            static_cast<S*>(object)->*member = Text{std::get<std::string>(v)};
        };
        f.load = [member](const void* object) {
            const Text& text = static_cast<const S*>(object)->*member;
            if constexpr (std::is_same_v<Text, std::string>)
                return value{text};
            else
                return value{text.str()};
        };
        table_->add(std::move(f));
        return *this;
    }

    std::shared_ptr<settings_detail::field_table> table_ = std::make_shared<settings_detail::field_table>();
};

} // namespace mjm
