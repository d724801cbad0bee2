#include "platform/cbor_message.h"

#include <limits>
#include <utility>
#include <vector>

namespace mjm {

namespace {

using nlohmann::json;

// The parser recurses, so that deeply nested input would exhaust the stack. No message nests deeper than 4.
constexpr int max_depth = 16;

class depth_check final : public nlohmann::json_sax<json> {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return ++depth_ <= max_depth; }
    bool key(string_t&) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return ++depth_ <= max_depth; }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override
    {
        return false;
    }

private:
    bool leave()
    {
        --depth_;
        return true;
    }

    int depth_ = 0;
};

json parse_cbor(std::string_view text)
{
    depth_check check;
    if (!json::sax_parse(text, &check, nlohmann::detail::input_format_t::cbor))
        return json(json::value_t::discarded);
    return json::from_cbor(text, true, false);
}

} // namespace

cbor_reader cbor_reader::parse(std::string_view text)
{
    return cbor_reader{parse_cbor(text)};
}

const json* cbor_reader::find(const char* name)
{
    if (!value_.is_object())
        return nullptr;
    const auto it = value_.find(name);
    if (it != value_.end())
        return &*it;
    ok_ = false;
    return nullptr;
}

std::string cbor_reader::text(const char* name)
{
    const json* field = find(name);
    if (field != nullptr && field->is_string())
        return field->get<std::string>();
    ok_ = false;
    return {};
}

std::string cbor_reader::bytes(const char* name)
{
    const json* field = find(name);
    if (field != nullptr && field->is_binary()) {
        const json::binary_t& data = field->get_binary();
        return {data.begin(), data.end()};
    }
    ok_ = false;
    return {};
}

std::int64_t cbor_reader::integer(const char* name)
{
    const json* field = find(name);
    if (field != nullptr && field->is_number_integer() &&
        !(field->is_number_unsigned() &&
          field->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())))
        return field->get<std::int64_t>();
    ok_ = false;
    return 0;
}

std::uint64_t cbor_reader::unsigned_integer(const char* name)
{
    const json* field = find(name);
    if (field != nullptr && field->is_number_unsigned())
        return field->get<std::uint64_t>();
    ok_ = false;
    return 0;
}

bool cbor_reader::boolean(const char* name)
{
    const json* field = find(name);
    if (field != nullptr && field->is_boolean())
        return field->get<bool>();
    ok_ = false;
    return false;
}

json cbor_reader::nested(const char* name)
{
    const json* field = find(name);
    return field == nullptr ? json() : *field;
}

std::string to_cbor_text(const json& value)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

json cbor_bytes(std::string_view bytes)
{
    return json::binary(json::binary_t::container_type(bytes.begin(), bytes.end()));
}

} // namespace mjm
