#pragma once

#include "maintenance/budget_document.h"
#include "maintenance/controller_record.h"
#include "maintenance/cordon_document.h"
#include "maintenance/wave_document.h"

#include <optional>
#include <string>
#include <string_view>

namespace mjm {

/// JSON text of the store documents of maintenance. Decoding returns nothing for text that is not valid.
class maintenance_codec {
public:
    [[nodiscard]] static std::string encode(const wave_document& value);
    [[nodiscard]] static std::string encode(const budget_document& value);
    [[nodiscard]] static std::string encode(const cordon_document& value);
    [[nodiscard]] static std::string encode(const controller_record& value);
    [[nodiscard]] static std::optional<wave_document> wave(std::string_view text);
    [[nodiscard]] static std::optional<budget_document> budget(std::string_view text);
    [[nodiscard]] static std::optional<cordon_document> cordons(std::string_view text);
    [[nodiscard]] static std::optional<controller_record> controller(std::string_view text);
};

} // namespace mjm
