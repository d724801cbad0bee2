#pragma once

#include "core/enum_names.h"

namespace mjm {

/// Why a message could not be accepted.
enum class codec_errc {
    malformed,     ///< Not CBOR, or a field is missing or of another type.
    wrong_address, ///< Belongs to another request, task or target.
    wrong_digest,  ///< The body's length or digest differs from what the sender stated.
};

template <>
struct enum_names<codec_errc> {
    static constexpr std::array<std::pair<codec_errc, std::string_view>, 3> entries{{
        {codec_errc::malformed, "malformed"},
        {codec_errc::wrong_address, "wrong_address"},
        {codec_errc::wrong_digest, "wrong_digest"},
    }};
};

} // namespace mjm
