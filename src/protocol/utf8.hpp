// Checks of the text that enters the process. Records in the store and the checks of their sizes
// are based on JSON, which can only be written if all of its text is UTF-8.
#pragma once

#include <algorithm>
#include <string>

#include "bookkeeping/json.hpp"

namespace walkford::protocol {

// Whether the text is valid UTF-8.
inline bool is_valid_utf8(const std::string& text) {
    constexpr unsigned char kFirstNonAscii = 0x80;
    bool ascii = std::all_of(text.begin(), text.end(),
                             [](unsigned char byte) { return byte < kFirstNonAscii; });
    if (ascii) {
        return true;
    }
    try {
        static_cast<void>(Json(text).dump());
        return true;
    } catch (const Json::type_error&) {
        return false;
    }
}

// The character that stands for bytes that are not UTF-8.
inline constexpr const char* kReplacementCharacter = "\xEF\xBF\xBD";

// Returns the text with every sequence of bytes that is not UTF-8 replaced.
inline std::string replace_invalid_utf8(const std::string& text) {
    std::string json = Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
    return Json::parse(json).get<std::string>();
}

}  // namespace walkford::protocol
