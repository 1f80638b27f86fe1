// Reads text files.
#pragma once

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace walkford::protocol {

// Returns the contents of a file, or nullopt if it can't be read.
inline std::optional<std::string> read_text_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return std::nullopt;
    }
    return text.str();
}

}  // namespace walkford::protocol
