// Reads and validates the operators' settings, which are Java-style properties files.
#pragma once

#include <string>
#include <vector>

#include "coordination/settings/operator_settings.hpp"
#include "protocol/settings_file.hpp"

namespace walkford::protocol {

// Reads the files in order. If two files set the same property, the later one takes precedence and
// a line is appended to `notes`. Throws a SettingsError that names the file and the property.
OperatorSettings load_operator_settings(const std::vector<std::string>& paths,
                                        std::vector<std::string>& notes);

// The names of all known properties.
std::vector<std::string> property_names();

// Appends a line to `notes` for each job class that the properties name but no objective does. Such
// a class is not an error, because job classes are added and removed over time.
void note_unknown_classes(const OperatorSettings& operator_settings,
                          const PlatformSettings& platform_settings,
                          std::vector<std::string>& notes);

}  // namespace walkford::protocol
