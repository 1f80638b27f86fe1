#include "bookkeeping/registry_record.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <tuple>

namespace walkford {

namespace {
// `host-000231` as prefix `host-`, width 6 and the number 231, so that a value of a few KiB
// holds hundreds of machines.
std::tuple<std::string, int, std::uint64_t> split_name(const std::string& name) {
    std::size_t cut = name.size();
    while (cut > 0 && name[cut - 1] >= '0' && name[cut - 1] <= '9' && name.size() - cut < 15) {
        --cut;
    }
    std::uint64_t number = 0;
    if (cut < name.size()) {
        std::from_chars(name.data() + cut, name.data() + name.size(), number);
    }
    return {name.substr(0, cut), static_cast<int>(name.size() - cut), number};
}
std::string join_name(const std::string& prefix, int width, std::uint64_t number) {
    if (width == 0) {
        return prefix;
    }
    std::string digits = std::to_string(number);
    if (static_cast<int>(digits.size()) < width) {
        digits.insert(0, width - digits.size(), '0');
    }
    return prefix + digits;
}

// The numbers of a row as text, of printable characters without an escape: a step to the next
// number takes one of them up to 56, two up to 2,540, else ten; and up to 9 numbers that follow
// each other without a gap take one. (As decimal steps, 662 machines filled a value of 4 KiB.)
class Steps {
  public:
    static std::string write(const std::vector<std::uint64_t>& numbers) {
        std::string out;
        std::uint64_t last = 0;
        for (std::size_t i = 0; i < numbers.size();) {
            std::size_t run = 1;
            while (run < kMostRun && i + run < numbers.size() &&
                   numbers[i + run] == numbers[i + run - 1] + 1) {
                ++run;
            }
            if (run >= 2 && numbers[i] == last + 1) {
                out.push_back(symbol(kShort + run - 2));
                last += run;
                i += run;
                continue;
            }
            std::uint64_t step = numbers[i] - last;
            if (step >= 1 && step <= kShort) {
                out.push_back(symbol(step - 1));
            } else if (step - kShort - 1 < kMiddle * kBase) {
                step -= kShort + 1;
                out.push_back(symbol(kFirstMiddle + step / kBase));
                out.push_back(symbol(step % kBase));
            } else {
                // Any other, also 0 at the beginning: nine digits hold every number below 2^58.
                out.push_back(symbol(kBase - 1));
                for (int digit = 0; digit < kDigits; ++digit, step /= kBase) {
                    out.push_back(symbol(step % kBase));
                }
            }
            last = numbers[i++];
        }
        return out;
    }
    // Nothing where it is not one of ours.
    static std::optional<std::vector<std::uint64_t>> read(const std::string& text) {
        std::vector<std::uint64_t> numbers;
        std::uint64_t last = 0;
        for (std::size_t i = 0; i < text.size();) {
            std::uint64_t v = value(text[i++]);
            if (v >= kBase) {
                return std::nullopt;
            }
            if (v < kShort) {
                numbers.push_back(last += v + 1);
            } else if (v < kFirstMiddle) {
                for (std::uint64_t n = 0; n < v - kShort + 2; ++n) {
                    numbers.push_back(++last);
                }
            } else {
                bool middle = v + 1 < kBase;
                std::uint64_t step = middle ? v - kFirstMiddle : 0, unit = 1;
                for (int digit = 0; digit < (middle ? 1 : kDigits); ++digit) {
                    if (i >= text.size() || value(text[i]) >= kBase) {
                        return std::nullopt;
                    }
                    if (middle) {
                        step = step * kBase + value(text[i++]) + kShort + 1;
                    } else {
                        step += unit * value(text[i++]);
                        unit *= kBase;
                    }
                }
                numbers.push_back(last += step);
            }
        }
        return numbers;
    }

  private:
    // Printable characters but for the two that JSON escapes.
    static constexpr std::uint64_t kBase = 92;
    static constexpr std::uint64_t kShort = 56;
    static constexpr std::uint64_t kMostRun = 9;
    static constexpr std::uint64_t kFirstMiddle = kShort + kMostRun - 1;
    static constexpr std::uint64_t kMiddle = kBase - 1 - kFirstMiddle;
    static constexpr int kDigits = 9;
    static char symbol(std::uint64_t v) {
        char c = static_cast<char>(' ' + v);
        if (c >= '"') {
            ++c;
        }
        if (c >= '\\') {
            ++c;
        }
        return c;
    }
    static std::uint64_t value(char c) {
        if (c < ' ' || c > '~' || c == '"' || c == '\\') {
            return kBase;
        }
        return static_cast<std::uint64_t>(c - ' ' - (c > '"' ? 1 : 0) - (c > '\\' ? 1 : 0));
    }
};
}  // namespace

// Rows: machines of one kind, zone, sort and name prefix, and their numbers; kinds and zones by
// their place in two lists. Permanent ones and those on their way back are marked in rows of their
// own: they would split the others into several times as many.
Json encode_registry(const RegistryRecord& r, const Names& names) {
    std::map<std::string, std::size_t> machine_types, zones;
    auto place = [](std::map<std::string, std::size_t>& list, const std::string& name) {
        return list.try_emplace(name, list.size()).first->second;
    };
    using Group = std::tuple<std::string, int, std::size_t, std::size_t, int>;
    std::map<Group, std::vector<std::uint64_t>> groups, permanent, returning;
    for (const RegisteredMachine& h : r.machines) {
        auto [prefix, width, number] = split_name(h.name);
        if (h.permanent) {
            permanent[{prefix, width, 0, 0, 0}].push_back(number);
        }
        if (h.releasing) {
            returning[{prefix, width, 0, 0, 0}].push_back(number);
        }
        groups[{std::move(prefix), width,
                place(machine_types, names.machine_types.name(h.machine_type)),
                place(zones, names.zones.name(h.zone)), h.spot ? 1 : 0}]
            .push_back(number);
    }
    auto rows = [](std::map<Group, std::vector<std::uint64_t>>& list, bool marks) {
        Json all = Json::array();
        for (auto& [g, numbers] : list) {
            const auto& [prefix, width, machine_type, zone, flags] = g;
            std::sort(numbers.begin(), numbers.end());
            numbers.erase(std::unique(numbers.begin(), numbers.end()), numbers.end());
            std::string steps = Steps::write(numbers);
            all.push_back(marks ? Json::array({prefix, width, steps})
                                : Json::array({prefix, width, machine_type, zone, flags, steps}));
        }
        return all;
    };
    Json scale_out_requests = Json::array();
    for (const ScaleOutRequest& h : r.scale_out_requests) {
        scale_out_requests.push_back(
            Json::array({h.name, place(machine_types, names.machine_types.name(h.machine_type)),
                         place(zones, names.zones.name(h.zone)),
                         (h.spot ? 1 : 0) | (h.permanent ? 2 : 0), h.count}));
    }
    auto listed = [](const std::map<std::string, std::size_t>& list) {
        Json v = Json::array();
        for (std::size_t i = 0; i < list.size(); ++i) {
            v.push_back("");
        }
        for (const auto& [name, at] : list) {
            v[at] = name;
        }
        return v;
    };
    Json v = Json::object();
    v["n"] = r.next_request_number;
    v["f"] = r.first_scale_out_done ? 1 : 0;
    v["k"] = listed(machine_types);
    v["z"] = listed(zones);
    v["m"] = rows(groups, false);
    if (!permanent.empty()) {
        v["p"] = rows(permanent, true);
    }
    if (!returning.empty()) {
        v["r"] = rows(returning, true);
    }
    v["h"] = std::move(scale_out_requests);
    return v;
}

std::optional<RegistryRecord> decode_registry(const Json& v, Names& names) {
    try {
        RegistryRecord r;
        r.next_request_number = v.at("n").get<std::uint64_t>();
        r.first_scale_out_done = v.at("f").get<int>() != 0;
        // Before 0.2 a row held the names themselves and the numbers in full; 0.2 had decimal
        // steps.
        bool listed = v.contains("k");
        auto name = [&](const char* list, const Json& at) {
            return listed ? v.at(list).at(at.get<std::size_t>()).get<std::string>()
                          : at.get<std::string>();
        };
        for (const Json& row : v.at("m")) {
            auto prefix = row.at(0).get<std::string>();
            int width = row.at(1).get<int>();
            Id machine_type = names.machine_types.intern(name("k", row.at(2)));
            Id zone = names.zones.intern(name("z", row.at(3)));
            int flags = row.at(4).get<int>();
            std::vector<std::uint64_t> numbers;
            if (row.at(5).is_string()) {
                auto steps = Steps::read(row.at(5).get_ref<const std::string&>());
                if (!steps) {
                    return std::nullopt;
                }
                numbers = std::move(*steps);
            } else {
                std::uint64_t last = 0;
                for (const Json& number : row.at(5)) {
                    last = number.get<std::uint64_t>() + (listed ? last : 0);
                    numbers.push_back(last);
                }
            }
            for (std::uint64_t number : numbers) {
                r.machines.push_back({join_name(prefix, width, number), machine_type, zone,
                                      (flags & 1) != 0, (flags & 2) != 0, (flags & 4) != 0});
            }
        }
        for (const char* mark : {"p", "r"}) {
            std::set<std::string> marked;
            for (const Json& row : v.value(mark, Json::array())) {
                auto steps = Steps::read(row.at(2).get<std::string>());
                if (!steps) {
                    return std::nullopt;
                }
                for (std::uint64_t number : *steps) {
                    marked.insert(
                        join_name(row.at(0).get<std::string>(), row.at(1).get<int>(), number));
                }
            }
            for (RegisteredMachine& h : r.machines) {
                if (marked.count(h.name)) {
                    (*mark == 'p' ? h.permanent : h.releasing) = true;
                }
            }
        }
        for (const Json& h : v.at("h")) {
            int flags = h.at(3).get<int>();
            r.scale_out_requests.push_back(
                {h.at(0).get<std::string>(), names.machine_types.intern(name("k", h.at(1))),
                 names.zones.intern(name("z", h.at(2))), (flags & 1) != 0,
                 h.at(4).get<std::uint32_t>(), (flags & 2) != 0});
        }
        return r;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}  // namespace walkford
