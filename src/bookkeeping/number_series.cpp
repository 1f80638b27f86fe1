#include "bookkeeping/number_series.hpp"

namespace walkford {

namespace {
constexpr std::uint64_t kSymbols = 92;  // printable characters except the two that JSON escapes
constexpr std::uint64_t kMaxRun = 9;    // most consecutive numbers in one symbol
constexpr std::size_t kLongStepDigits = 9;

// What the first symbol of an entry means, by its range:
// [0, kFirstRun): a step of the symbol plus 1.
constexpr std::uint64_t kFirstRun = 56;
// [kFirstRun, kFirstMiddleStep): a run of 2 to kMaxRun numbers.
constexpr std::uint64_t kFirstMiddleStep = kFirstRun + kMaxRun - 1;
// [kFirstMiddleStep, kLongStep): the high digit of a step; the next symbol is the low digit.
constexpr std::uint64_t kLongStep = kSymbols - 1;
// kLongStep: any other step, which follows in kLongStepDigits digits, least significant first.

// The smallest step that takes two symbols, and the number of such steps.
constexpr std::uint64_t kMinMiddleStep = kFirstRun + 1;
constexpr std::uint64_t kMiddleSteps = (kLongStep - kFirstMiddleStep) * kSymbols;

char to_character(std::uint64_t symbol) {
    char character = static_cast<char>(' ' + symbol);
    if (character >= '"') {
        ++character;
    }
    if (character >= '\\') {
        ++character;
    }
    return character;
}

// Returns kSymbols if the character encodes no symbol.
std::uint64_t to_symbol(char character) {
    if (character < ' ' || character > '~' || character == '"' || character == '\\') {
        return kSymbols;
    }
    int escaped_characters_below = (character > '"' ? 1 : 0) + (character > '\\' ? 1 : 0);
    return static_cast<std::uint64_t>(character - ' ' - escaped_characters_below);
}

// The length of the run of consecutive numbers that begins at index `first`, at most kMaxRun.
std::size_t run_length(const std::vector<std::uint64_t>& numbers, std::size_t first) {
    std::size_t run = 1;
    while (run < kMaxRun && first + run < numbers.size() &&
           numbers[first + run] == numbers[first + run - 1] + 1) {
        ++run;
    }
    return run;
}

void append_step(std::string& text, std::uint64_t step) {
    if (step >= 1 && step < kMinMiddleStep) {
        text.push_back(to_character(step - 1));
    } else if (step - kMinMiddleStep < kMiddleSteps) {
        step -= kMinMiddleStep;
        text.push_back(to_character(kFirstMiddleStep + step / kSymbols));
        text.push_back(to_character(step % kSymbols));
    } else {
        // Any other step. This includes 0 for a first number of 0, since the subtraction in the
        // condition above wraps around.
        text.push_back(to_character(kLongStep));
        for (std::size_t digit = 0; digit < kLongStepDigits; ++digit) {
            text.push_back(to_character(step % kSymbols));
            step /= kSymbols;
        }
    }
}

// Reads the symbols of a text in order.
class SymbolReader {
  public:
    explicit SymbolReader(const std::string& text) : text_(text) {}

    bool at_end() const { return position_ >= text_.size(); }

    // Returns nullopt at the end, and for a character that encodes no symbol.
    std::optional<std::uint64_t> next() {
        if (at_end()) {
            return std::nullopt;
        }
        std::uint64_t symbol = to_symbol(text_[position_++]);
        return symbol < kSymbols ? std::optional(symbol) : std::nullopt;
    }

  private:
    const std::string& text_;
    std::size_t position_ = 0;
};

std::optional<std::uint64_t> read_middle_step(SymbolReader& reader, std::uint64_t first_symbol) {
    auto low = reader.next();
    if (!low) {
        return std::nullopt;
    }
    return (first_symbol - kFirstMiddleStep) * kSymbols + *low + kMinMiddleStep;
}

std::optional<std::uint64_t> read_long_step(SymbolReader& reader) {
    std::uint64_t step = 0;
    std::uint64_t place_value = 1;
    for (std::size_t i = 0; i < kLongStepDigits; ++i) {
        auto digit = reader.next();
        if (!digit) {
            return std::nullopt;
        }
        step += place_value * *digit;
        place_value *= kSymbols;
    }
    return step;
}
}  // namespace

std::string encode_number_series(const std::vector<std::uint64_t>& numbers) {
    std::string text;
    std::uint64_t previous = 0;
    for (std::size_t i = 0; i < numbers.size();) {
        std::size_t run = run_length(numbers, i);
        if (run >= 2 && numbers[i] == previous + 1) {
            text.push_back(to_character(kFirstRun + run - 2));
            previous += run;
            i += run;
        } else {
            append_step(text, numbers[i] - previous);
            previous = numbers[i++];
        }
    }
    return text;
}

std::optional<std::vector<std::uint64_t>> decode_number_series(const std::string& text) {
    std::vector<std::uint64_t> numbers;
    std::uint64_t previous = 0;
    SymbolReader reader(text);
    while (!reader.at_end()) {
        auto symbol = reader.next();
        if (!symbol) {
            return std::nullopt;
        }
        if (*symbol >= kFirstRun && *symbol < kFirstMiddleStep) {
            for (std::uint64_t run = *symbol - kFirstRun + 2; run > 0; --run) {
                numbers.push_back(++previous);
            }
            continue;
        }
        auto step = *symbol < kFirstRun    ? std::optional(*symbol + 1)
                    : *symbol == kLongStep ? read_long_step(reader)
                                           : read_middle_step(reader, *symbol);
        if (!step) {
            return std::nullopt;
        }
        previous += *step;
        numbers.push_back(previous);
    }
    return numbers;
}

}  // namespace walkford
