#include "settings/settings_fields.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <stdexcept>

namespace mjm::settings_detail {

namespace {

using nlohmann::json;

constexpr std::size_t max_found_text = 80;

std::string shortened(std::string text)
{
    if (text.size() > max_found_text) {
        text.resize(max_found_text);
        text += "...";
    }
    return text;
}

std::string text_of(const json& value)
{
    return shortened(value.dump(-1, ' ', false, json::error_handler_t::replace));
}

std::string text_of(const field_value& value)
{
    return std::visit(
        [](const auto& v) { return json(v).dump(-1, ' ', false, json::error_handler_t::replace); }, value);
}

std::string join(const std::vector<std::string>& names)
{
    std::string out;
    for (const std::string& name : names)
        out += (out.empty() ? "" : ", ") + name;
    return out;
}

std::string number(double value)
{
    return json(value).dump();
}

std::string range_of(const field& f)
{
    return std::to_string(f.min) + " to " + std::to_string(f.max);
}

std::string type_of(const field& f)
{
    switch (f.kind) {
    case field_kind::string:
        return "string";
    case field_kind::integer:
        return "integer";
    case field_kind::real:
        return "number";
    case field_kind::boolean:
        return "boolean";
    case field_kind::duration_ms:
        return "integer (ms)";
    case field_kind::enumeration:
        return "name";
    case field_kind::ip_address:
        return "IP address";
    case field_kind::list:
        return "list of objects";
    case field_kind::group:
        return "object";
    }
    return "invalid";
}

std::string range_text(const field& f)
{
    switch (f.kind) {
    case field_kind::string:
        return f.accepts ? f.form : range_of(f) + " bytes";
    case field_kind::integer:
    case field_kind::duration_ms:
        return range_of(f);
    case field_kind::real:
        return number(f.real_min) + " to " + number(f.real_max);
    case field_kind::boolean:
        return "true, false";
    case field_kind::enumeration:
        return join(f.names);
    case field_kind::ip_address:
        return "IPv4 or IPv6 address";
    case field_kind::list:
        return range_of(f) + " items";
    case field_kind::group:
        return "";
    }
    return "";
}

std::string allowed_text(const field& f)
{
    const std::string range = range_text(f);
    return range.empty() ? type_of(f) : type_of(f) + ": " + range;
}

bool is_ip_address(const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    return inet_pton(AF_INET, text.c_str(), buf.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), buf.data()) == 1;
}

class reader {
public:
    reader(const std::string& file, settings_errors& errors) : file_{file}, errors_{errors} {}

    void read_object(const field_table& table, const json& value, const std::string& path, void* object)
    {
        const std::string prefix = path.empty() ? path : path + ".";
        const std::vector<field>& fields = table.fields();
        for (json::const_iterator it = value.begin(); it != value.end(); ++it) {
            const bool known = std::any_of(fields.begin(), fields.end(),
                                           [&it](const field& f) { return f.key == it.key(); });
            if (!known)
                note(settings_errc::unknown_key, prefix + it.key(), text_of(*it), keys_of(table));
        }
        for (const field& f : table.fields()) {
            const json::const_iterator it = value.find(f.key);
            fatal_ = f.required;
            if (it != value.end() && !(table.generated() && it->is_null()))
                read_field(f, *it, prefix + f.key, object, table.generated());
            else if (f.required || f.expected)
                note(settings_errc::missing_key, prefix + f.key, "nothing", allowed_text(f));
            fatal_ = false;
        }
        for (const rule& r : table.rules())
            apply_rule(r, value, prefix, object);
    }

    /// Adds an error that is found outside of `read_object`.
    void report(settings_errc code, const std::string& path, std::string found, std::string allowed,
                bool fatal = true)
    {
        errors_.push_back({code, file_, path, std::move(found), std::move(allowed), fatal});
    }

private:
    void note(settings_errc code, const std::string& path, std::string found, std::string allowed)
    {
        errors_.push_back({code, file_, path, std::move(found), std::move(allowed), fatal_});
    }

    static std::string keys_of(const field_table& table)
    {
        std::vector<std::string> keys;
        for (const field& f : table.fields())
            keys.push_back(f.key);
        return "keys " + join(keys);
    }

    void wrong_type(const field& f, const json& value, const std::string& path)
    {
        note(settings_errc::wrong_type, path, text_of(value), allowed_text(f));
    }
    void out_of_range(const field& f, const json& value, const std::string& path)
    {
        note(settings_errc::out_of_range, path, text_of(value), allowed_text(f));
    }

    void read_field(const field& f, const json& value, const std::string& path, void* object, bool generated)
    {
        switch (f.kind) {
        case field_kind::string:
        case field_kind::enumeration:
        case field_kind::ip_address:
            return read_text_field(f, value, path, object);
        case field_kind::integer:
        case field_kind::duration_ms:
            return generated ? read_any_number(f, value, path, object) : read_integer(f, value, path, object);
        case field_kind::real:
            if (!value.is_number())
                return wrong_type(f, value, path);
            if (value.get<double>() < f.real_min || (!generated && value.get<double>() > f.real_max))
                return out_of_range(f, value, path);
            return f.store(object, std::min(value.get<double>(), f.real_max));
        case field_kind::boolean:
            if (!value.is_boolean())
                return wrong_type(f, value, path);
            return f.store(object, value.get<bool>());
        case field_kind::list:
            return read_list(f, value, path, object);
        case field_kind::group:
            if (!value.is_object())
                return wrong_type(f, value, path);
            return read_object(*f.items, value, path, f.member(object));
        }
    }

    void read_text_field(const field& f, const json& value, const std::string& path, void* object)
    {
        if (!value.is_string())
            return wrong_type(f, value, path);
        const std::string& text = value.get_ref<const std::string&>();
        bool in_range = false;
        if (f.kind == field_kind::enumeration)
            in_range = std::find(f.names.begin(), f.names.end(), text) != f.names.end();
        else if (f.kind == field_kind::ip_address)
            // inet_pton stops at an embedded zero byte.
            in_range = text.find('\0') == std::string::npos && is_ip_address(text);
        else
            in_range = std::cmp_greater_equal(text.size(), f.min) &&
                       std::cmp_less_equal(text.size(), f.max) && (!f.accepts || f.accepts(text));
        if (!in_range)
            return out_of_range(f, value, path);
        f.store(object, text);
    }

    void read_integer(const field& f, const json& value, const std::string& path, void* object)
    {
        if (!value.is_number_integer())
            return wrong_type(f, value, path);
        // Unsigned values above the signed range would wrap to negative ones.
        if (value.is_number_unsigned() && !std::in_range<std::int64_t>(value.get<std::uint64_t>()))
            return out_of_range(f, value, path);
        const std::int64_t number = value.get<std::int64_t>();
        if (number < f.min || number > f.max)
            return out_of_range(f, value, path);
        f.store(object, number);
    }

    void read_any_number(const field& f, const json& value, const std::string& path, void* object)
    {
        if (!value.is_number())
            return wrong_type(f, value, path);
        const double number = value.get<double>();
        if (number < static_cast<double>(f.min))
            return out_of_range(f, value, path);
        if (number >= static_cast<double>(f.max))
            return f.store(object, f.max);
        if (f.kind == field_kind::duration_ms)
            return f.store(object, number);
        f.store(object, static_cast<std::int64_t>(number));
    }

    void read_list(const field& f, const json& value, const std::string& path, void* object)
    {
        if (!value.is_array())
            return wrong_type(f, value, path);
        if (std::cmp_less(value.size(), f.min) || std::cmp_greater(value.size(), f.max))
            note(settings_errc::out_of_range, path, std::to_string(value.size()) + " items", allowed_text(f));
        f.clear_list(object);
        std::size_t n = 0;
        for (const json& item : value) {
            const std::string item_path = path + "[" + std::to_string(n++) + "]";
            if (item.is_object())
                read_object(*f.items, item, item_path, f.member(object));
            else
                note(settings_errc::wrong_type, item_path, text_of(item), "object");
        }
    }

    void apply_rule(const rule& r, const json& value, const std::string& prefix, const void* object)
    {
        std::string found;
        std::string path;
        for (const std::string& key : r.keys) {
            const std::string key_path = prefix + key;
            const bool has_error = std::any_of(errors_.begin(), errors_.end(), [&](const settings_error& e) {
                if (!e.path.starts_with(key_path))
                    return false;
                const char next = e.path.size() == key_path.size() ? '.' : e.path[key_path.size()];
                return next == '.' || next == '[';
            });
            if (has_error)
                return;
            const json::const_iterator it = value.find(key);
            found += (found.empty() ? "" : ", ") + key + " = " +
                     (it == value.end() ? std::string{"default"} : text_of(*it));
            path += (path.empty() ? "" : ", ") + key_path;
        }
        if (const std::optional<std::string> allowed = r.broken(object))
            note(settings_errc::contradiction, path, found, *allowed);
    }

    const std::string& file_;
    settings_errors& errors_;
    bool fatal_ = false; ///< Whether the program can't run without the value that is being read.
};

/// Finds keys that occur twice in one object, which the JSON library would silently merge.
class duplicate_finder {
public:
    explicit duplicate_finder(std::vector<std::string>& duplicates) : duplicates_{duplicates} {}

    bool operator()(json::parse_event_t event, const json& parsed)
    {
        switch (event) {
        case json::parse_event_t::object_start:
            levels_.push_back({{}, "", false, 0});
            break;
        case json::parse_event_t::array_start:
            levels_.push_back({{}, "", true, 0});
            break;
        case json::parse_event_t::key:
            levels_.back().last = parsed.get<std::string>();
            if (!levels_.back().keys.insert(levels_.back().last).second)
                duplicates_.push_back(path());
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            levels_.pop_back();
            count_item();
            break;
        case json::parse_event_t::value:
            count_item();
            break;
        }
        return true;
    }

private:
    struct level {
        std::set<std::string> keys;
        std::string last;
        bool array = false;
        std::size_t index = 0;
    };

    void count_item()
    {
        if (!levels_.empty() && levels_.back().array)
            ++levels_.back().index;
    }

    [[nodiscard]] std::string path() const
    {
        std::string out;
        for (const level& l : levels_) {
            if (l.array)
                out += "[" + std::to_string(l.index) + "]";
            else
                out += (out.empty() ? "" : ".") + l.last;
        }
        return out;
    }

    std::vector<std::string>& duplicates_;
    std::vector<level> levels_;
};

std::string escaped(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        if (c == '|')
            out += '\\';
        out += c == '\n' ? ' ' : c;
    }
    return out;
}

std::string default_text(const field& f, const void* defaults)
{
    if (f.required)
        return "required";
    if (f.kind == field_kind::group)
        return "";
    const field_value value = f.load(defaults);
    if (f.kind == field_kind::list)
        return text_of(value) + " items";
    return "`" + escaped(text_of(value)) + "`";
}

void add_rows(const field_table& table, const void* defaults, const std::string& prefix, std::string& out)
{
    for (const field& f : table.fields()) {
        out += "| `" + escaped(prefix + f.key) + "` | " + type_of(f) + " | " + default_text(f, defaults) +
               " | " + escaped(range_text(f)) + " | " + escaped(f.description) + " |\n";
        if (f.items)
            add_rows(*f.items, f.read_member(defaults),
                     prefix + f.key + (f.kind == field_kind::list ? "[]." : "."), out);
    }
}

} // namespace

void field_table::add(field f)
{
    for (const field& other : fields_) {
        if (other.key == f.key)
            throw std::logic_error("settings key declared twice: " + f.key);
    }
    fields_.push_back(std::move(f));
}

settings_errors read_text(const field_table& table, const std::string& file, const std::string& text,
                          void* object)
{
    settings_errors errors;
    reader r{file, errors};
    json document;
    std::vector<std::string> duplicates;
    duplicate_finder finder{duplicates};
    try {
        document = json::parse(text, [&finder](int /*depth*/, json::parse_event_t event, json& parsed) {
            return finder(event, parsed);
        });
    } catch (const json::exception& e) {
        r.report(settings_errc::not_json, "", shortened(e.what()), "a JSON object");
        return errors;
    }
    for (const std::string& path : duplicates)
        r.report(settings_errc::duplicate_key, path, "the key twice", "each key once", false);
    if (document.is_object())
        r.read_object(table, document, "", object);
    else
        r.report(settings_errc::wrong_type, "", text_of(document), "a JSON object");
    return errors;
}

std::optional<settings_error> read_file(const std::string& file, std::string& text)
{
    std::ifstream in{file, std::ios::binary};
    std::ostringstream buf;
    // Streaming an empty file sets failbit on `buf` only; a directory fails on reading.
    if (in && (in.peek() == std::ifstream::traits_type::eof() || buf << in.rdbuf()) && !in.bad()) {
        text = std::move(buf).str();
        return std::nullopt;
    }
    return settings_error{settings_errc::unreadable, file, "", "no readable file", "a JSON file", true};
}

std::string markdown(const field_table& table, const void* defaults)
{
    std::string out = "| key | type | default | allowed | description |\n|---|---|---|---|---|\n";
    add_rows(table, defaults, "", out);
    return out;
}

} // namespace mjm::settings_detail
