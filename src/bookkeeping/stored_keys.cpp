#include "bookkeeping/stored_keys.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace walkford {

namespace keys {
namespace {
std::optional<std::uint32_t> parse_index(std::string_view digits) {
    std::uint32_t index = 0;
    const char* end = digits.data() + digits.size();
    auto [parsed_end, error] = std::from_chars(digits.data(), end, index);
    if (error != std::errc() || parsed_end != end) {
        return std::nullopt;
    }
    return index;
}
}  // namespace

std::string placement_record(const std::string& job, std::uint32_t index) {
    return kPlacementRecords + job + "/" + std::to_string(index);
}

std::string registry_part(std::uint32_t index) {
    return index == 0 ? kRegistry : kRegistryParts + std::to_string(index);
}

std::optional<std::uint32_t> parse_registry_part(const std::string& key) {
    if (key == kRegistry) {
        return 0;
    }
    if (key.rfind(kRegistryParts, 0) != 0) {
        return std::nullopt;
    }
    return parse_index(std::string_view(key).substr(kRegistryParts.size()));
}

std::optional<PlacementRecordKey> parse_placement_record(const std::string& key) {
    if (key.rfind(kPlacementRecords, 0) != 0) {
        return std::nullopt;
    }
    auto slash = key.rfind('/');
    if (slash <= kPlacementRecords.size()) {
        return std::nullopt;
    }
    auto index = parse_index(std::string_view(key).substr(slash + 1));
    if (!index) {
        return std::nullopt;
    }
    return PlacementRecordKey{
        key.substr(kPlacementRecords.size(), slash - kPlacementRecords.size()), *index};
}
}  // namespace keys

bool is_valid_job_id(const std::string& id) {
    constexpr std::size_t kMinLength = 3;
    constexpr std::size_t kMaxLength = 62;
    if (id.size() < kMinLength || id.size() > kMaxLength || id.rfind("j-", 0) != 0) {
        return false;
    }
    return std::all_of(id.begin() + 2, id.end(), [](unsigned char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
               (character >= '0' && character <= '9') || character == '-' || character == '_';
    });
}

}  // namespace walkford
