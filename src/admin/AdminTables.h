#pragma once

#include <nlohmann/json_fwd.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace Catkinwell {

// Formats answers of the administration API as plain text.

// Writes one line for each element and one column for each field that occurs. The
// given columns come first.
void printTable(std::ostream&, const nlohmann::json& items, const std::vector<std::string>& firstColumns = {});

// Writes an array of objects or an object of objects as a table, and other values line by line.
void printValue(std::ostream&, const nlohmann::json&);

// Writes the changes of a dry run.
void printChanges(std::ostream&, const nlohmann::json& changes);

// Writes a usage report.
void printReport(std::ostream&, const nlohmann::json& report);

// Writes the journal entries of an explain answer.
void printExplanation(std::ostream&, const nlohmann::json& explanation);

} // namespace Catkinwell
