#include "core/error.h"
#include "fault_control.h"
#include "settings/daemon_settings.h"
#include "table_model.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace
{

using namespace primrosecroft;

constexpr std::size_t mostRows = 1'000;

/// The platform's table, object store and VM list over HTTP.
class platform
{
public:
    explicit platform(nlohmann::json vms)
        : m_vms(std::move(vms))
    {
    }

    http_answer serve(const http_request &request)
    {
        const auto path = request.path();
        if (path == "/table/commit") {
            ++m_table.writes;
            return commitAll(nlohmann::json::parse(request.body()));
        }
        if (path == "/table/read") {
            ++m_table.reads;
            return readMany(nlohmann::json::parse(request.body()));
        }
        if (path == "/table/rows") {
            ++m_table.reads;
            const auto limit = std::min(mostRows, std::size_t {std::stoul(request.query("limit"))});
            return rowsAnswer(standins::list(m_table, request.query("prefix"), request.query("after"), limit));
        }
        if (path.starts_with("/table/row/")) {
            ++m_table.reads;
            return readRow(path.substr(std::string_view("/table/row/").size()));
        }
        if (path.starts_with("/objects/")) {
            return serveObject(request, path);
        }
        if (path == "/vms") {
            const auto tag = '"' + std::to_string(m_vmsVersion) + '"';
            if (request.header("If-None-Match") == tag) {
                return {304, {{"ETag", tag}}, ""};
            }
            return {200, {{"ETag", tag}}, nlohmann::json {{"vms", m_vms}}.dump()};
        }
        if (path == "/counts") {
            return {200, {}, nlohmann::json {{"reads", m_table.reads}, {"writes", m_table.writes}}.dump()};
        }
        return {404, {}, "{}"};
    }

    /// PUT /vms replaces the list; tests keep the lag themselves.
    void replaceVms(nlohmann::json vms)
    {
        m_vms = std::move(vms);
        ++m_vmsVersion;
    }

private:
    http_answer commitAll(const nlohmann::json &body)
    {
        nlohmann::json results = nlohmann::json::array();
        for (const auto &each : body.at("transactions")) {
            table_transaction transaction;
            for (const auto &write : each) {
                const auto value =
                    write.contains("value") ? std::optional(write.at("value").get<std::string>()) : std::nullopt;
                transaction.push_back(
                    {write.at("key").get<std::string>(), write.at("ifVersion").get<std::int64_t>(), value});
            }
            const auto versions = standins::commit(m_table, transaction);
            results.push_back(
                {{"committed", versions.has_value()}, {"versions", versions.value_or(std::vector<std::int64_t> {})}});
        }
        return {200, {}, nlohmann::json {{"results", results}}.dump()};
    }

    static http_answer rowsAnswer(const std::vector<table_row> &rows)
    {
        nlohmann::json list = nlohmann::json::array();
        for (const auto &row : rows) {
            list.push_back({{"key", row.key}, {"version", row.version}, {"value", row.value}});
        }
        return {200, {}, nlohmann::json {{"rows", list}}.dump()};
    }

    http_answer readMany(const nlohmann::json &body)
    {
        std::vector<table_row> rows;
        for (const auto &key : body.at("keys")) {
            const auto found = m_table.rows.find(key.get<std::string>());
            if (found != m_table.rows.end()) {
                rows.push_back({found->first, found->second.version, found->second.value});
            }
        }
        return rowsAnswer(rows);
    }

    http_answer readRow(const std::string &key)
    {
        const auto found = m_table.rows.find(key);
        if (found == m_table.rows.end()) {
            return {404, {}, "{}"};
        }
        const auto &row = found->second;
        return {200, {}, nlohmann::json {{"key", key}, {"version", row.version}, {"value", row.value}}.dump()};
    }

    http_answer serveObject(const http_request &request, const std::string &path)
    {
        if (request.method() == "PUT") {
            m_objects[path] = request.body();
            return {200, {}, "{}"};
        }
        const auto found = m_objects.find(path);
        return found == m_objects.end() ? http_answer {404, {}, ""} : http_answer {200, {}, found->second};
    }

    nlohmann::json m_vms;
    std::uint64_t m_vmsVersion = 1;
    standins::table_model m_table;
    std::map<std::string, std::string> m_objects;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for the platform: table, object store and VM list.");
    std::string address;
    std::uint16_t port = 0;
    std::string vmFile;
    app.add_option("--address", address, "IP number")->required();
    app.add_option("--port", port)->required();
    app.add_option("--vms", vmFile, "JSON file with the VM list")->required();
    CLI11_PARSE(app, argc, argv);
    try {
        platform service(nlohmann::json::parse(readFile(vmFile)).at("vms"));
        standins::fault_control control(nullptr);
        http_server server({std::int64_t {8} * 1024 * 1024, std::chrono::milliseconds(10'000)},
                           [&](const std::shared_ptr<http_request> &request) {
                               if (request->path() == "/vms" && request->method() == "PUT") {
                                   service.replaceVms(nlohmann::json::parse(request->body()).at("vms"));
                                   request->answer({200, {}, "{}"});
                                   return;
                               }
                               control.serve(request,
                                             [&service](const http_request &each) { return service.serve(each); });
                           });
        server.listen(address, port);
        standins::runLoop();
        return 0;
    } catch (const std::exception &fault) {
        std::cerr << fault.what() << '\n';
        return 1;
    }
}
