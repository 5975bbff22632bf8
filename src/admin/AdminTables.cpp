#include <admin/AdminTables.h>

#include <admin/AdminAnswer.h>
#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    std::string cellText(const Json& value)
    {
        if (value.is_null())
            return "-";
        if (value.is_string())
            return value.get<std::string>();
        if (value.is_number_float()) {
            std::ostringstream text;
            text << std::fixed << std::setprecision(2) << value.get<double>();
            return text.str();
        }
        return jsonText(value);
    }

    std::vector<std::string> columnsOf(const Json& items, std::vector<std::string> columns)
    {
        const auto isKnown
            = [&](const std::string& name) { return std::find(columns.begin(), columns.end(), name) != columns.end(); };
        for (const Json& item : items) {
            for (const auto& [name, value] : item.items()) {
                if (!isKnown(name))
                    columns.push_back(name);
            }
        }
        // Leaves out columns that no item has.
        std::erase_if(columns, [&](const std::string& name) {
            return std::none_of(items.begin(), items.end(), [&](const Json& item) { return item.contains(name); });
        });
        return columns;
    }

    bool areObjects(const Json& values)
    {
        return std::all_of(values.begin(), values.end(), [](const Json& value) { return value.is_object(); });
    }

    // Converts {"a": {...}} to [{"name": "a", ...}].
    Json rowsOf(const Json& object)
    {
        Json rows = Json::array();
        for (const auto& [name, value] : object.items()) {
            Json row = value;
            row["name"] = name;
            rows.push_back(std::move(row));
        }
        return rows;
    }

    Json withoutColumn(Json rows, const char* name)
    {
        for (Json& row : rows)
            row.erase(name);
        return rows;
    }

} // namespace

void printTable(std::ostream& out, const Json& items, const std::vector<std::string>& firstColumns)
{
    if (items.empty()) {
        out << "(none)\n";
        return;
    }
    const std::vector<std::string> columns = columnsOf(items, firstColumns);
    std::vector<std::vector<std::string>> rows { columns };
    for (const Json& item : items) {
        std::vector<std::string>& row = rows.emplace_back();
        for (const std::string& column : columns)
            row.push_back(cellText(item.contains(column) ? item[column] : Json()));
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const bool last = i + 1 == row.size();
            out << row[i] << std::string(last ? 0 : widths[i] - row[i].size() + 2, ' ') << (last ? "\n" : "");
        }
    }
}

void printValue(std::ostream& out, const Json& value)
{
    if (value.is_array() && areObjects(value)) {
        printTable(out, value, { "id", "name" });
    } else if (value.is_object() && !value.empty() && areObjects(value)) {
        printTable(out, rowsOf(value), { "name" });
    } else if (value.is_object()) {
        for (const auto& [name, field] : value.items())
            out << name << ": " << cellText(field) << "\n";
    } else {
        out << cellText(value) << "\n";
    }
}

void printChanges(std::ostream& out, const Json& changes)
{
    if (changes.empty())
        out << "no change\n";
    for (const Json& change : changes) {
        out << change.at("path").get<std::string>() << "\n";
        if (change.contains("old"))
            out << "  - " << jsonText(change["old"]) << "\n";
        if (change.contains("new"))
            out << "  + " << jsonText(change["new"]) << "\n";
    }
}

void printReport(std::ostream& out, const Json& report)
{
    out << "Hosts and the periods that their figures cover:\n";
    printTable(out, report.at("hosts"), { "host", "since", "until" });
    out << "\nModels:\n";
    printTable(out, rowsOf(report.at("models")), { "name", "loaded_hours", "busy_hours", "idle_hours" });
    out << "\nAccounts:\n";
    printTable(out, withoutColumn(rowsOf(report.at("accounts")), "tokens_by_model"),
        { "name", "loaded_hours", "idle_hours", "loads", "cold_starts", "tokens" });
    out << "\n";
    for (const char* name : { "month_hours", "mean_accelerators", "forecast_month_hours", "monthly_budget_hours",
             "budget_exceeded", "forecast_exceeds_budget" })
        out << name << ": " << cellText(report.at(name)) << "\n";
    out << "\n" << report.at("explanation").get<std::string>() << "\n";
}

void printExplanation(std::ostream& out, const Json& explanation)
{
    for (const Json& entry : explanation.at("entries")) {
        out << cellText(entry.at("age_seconds")) << " s ago: " << cellText(entry.at("name")) << " ("
            << entry.at("event") << ") " << cellText(entry.at("meaning")) << "\n";
        for (const auto& [name, value] : entry.at("fields").items())
            out << "    " << name << ": " << cellText(value) << "\n";
    }
}

} // namespace Catkinwell
