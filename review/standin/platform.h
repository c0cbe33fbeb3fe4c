#pragma once
// The users' platform as PROTOCOL.md describes it: the table store and executors that are told by calls (`rpc`). All in
// real time on loopback addresses. The executors keep a record of every run, by which the rules are judged.

#include "net.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>

using json = nlohmann::json;

struct bounds
{
    std::int64_t holdMaxMs = 6'000;
    std::int64_t stopMs = 200;
    std::int64_t txMs = 8;
    std::int64_t readMs = 4;
    std::int64_t heartbeatMs = 1'500;
    std::size_t rowBytes = 65'536;
    std::int64_t checkpointMs = 1'000;
    std::int64_t restoreMs = 100;
    std::int64_t startUpMs = 300; // of a task that lasts
    std::int64_t gangTimeoutMs = 3'000;
};

class recorder
{
public:
    explicit recorder(const std::string &file)
        : m_file(file)
        , m_begin(net::nowMs())
    {
    }

    std::int64_t time() const
    {
        return net::nowMs() - m_begin;
    }

    void line(const std::string &text)
    {
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.3f ", static_cast<double>(time()) / 1'000);
        m_file << stamp << text << '\n';
        m_file.flush();
    }

private:
    std::ofstream m_file;
    std::int64_t m_begin;
};

inline std::string base64Decode(const std::string &text)
{
    static const std::string alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    unsigned value = 0;
    int bits = 0;
    for (const char each : text) {
        const auto at = alphabet.find(each);
        if (at == std::string::npos) {
            break;
        }
        value = value << 6U | static_cast<unsigned>(at);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            result += static_cast<char>(value >> static_cast<unsigned>(bits) & 0xFFU);
        }
    }
    return result;
}

// The platform's table service. Each machine has a port of its own, so that the store can reject single machines.
class table_store
{
public:
    table_store(net::loop &events, recorder &record, const bounds &limits)
        : m_loop(events)
        , m_record(record)
        , m_limits(limits)
    {
    }

    void serve(std::size_t machine, const net::request &request)
    {
        if (rejected.contains(machine)) {
            ++rejections;
            m_loop.answer(request, 503, "{}");
            return;
        }
        const auto &target = request.content.target;
        const auto path = target.substr(0, target.find('?'));
        if (path == "/rows-tx") {
            // A partition handles one transaction after another.
            const auto now = net::nowMs();
            m_busyUntil = std::max(m_busyUntil, now) + m_limits.txMs;
            m_loop.after(m_busyUntil - now, [this, machine, request] { commit(machine, request); });
        } else if (path == "/rows-get") {
            m_loop.after(m_limits.readMs, [this, request] { read(request); });
        } else if (path == "/rows-feed") {
            feed(request, net::nowMs() + std::min<std::int64_t>(number(request, "waitMs"), 30'000));
        } else {
            m_loop.answer(request, 404, "{}");
        }
    }

    // A write of the operator or of an executor.
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        apply({table, "", key}, value, ++m_version);
    }

    void remove(const std::string &table, const std::string &key)
    {
        if (m_rows.erase({table, "", key}) > 0) {
            m_changes[table].push_back({++m_version, {table, "", key}, std::nullopt});
        }
    }

    // The machine that last wrote under a condition.
    std::optional<std::size_t> lastConditionalWriter() const
    {
        return m_lastWriter;
    }

    std::set<std::size_t> rejected; // machines that get 503
    std::int64_t rejections = 0;
    std::int64_t tooLarge = 0; // transactions with a row of more than rowBytes
    std::size_t largestRow = 0;

private:
    struct place
    {
        std::string table;
        std::string part;
        std::string key;
        auto operator<=>(const place &) const = default;
    };

    struct row
    {
        std::string value; // as base64
        std::int64_t version = 0;
    };

    struct change
    {
        std::int64_t version;
        place at;
        std::optional<std::string> value;
    };

    static std::string unescaped(const std::string &text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }

    static std::string query(const net::request &request, const std::string &name)
    {
        const auto &target = request.content.target;
        for (auto at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
            const auto equals = target.find('=', at);
            if (target.substr(at + 1, equals - at - 1) == name) {
                return unescaped(target.substr(equals + 1, target.find('&', at + 1) - equals - 1));
            }
        }
        return {};
    }

    static std::int64_t number(const net::request &request, const std::string &name)
    {
        return std::stoll("0" + query(request, name));
    }

    void apply(const place &at, const std::string &plain, std::int64_t version)
    {
        static const std::string alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < plain.size(); i += 3) {
            unsigned value = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                value = value << 8U | (i + j < plain.size() ? static_cast<unsigned char>(plain[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                text += i + j <= plain.size() ? alphabet[value >> (18 - 6 * j) & 0x3FU] : '=';
            }
        }
        write(at, text, version);
    }

    void write(const place &at, const std::string &encoded, std::int64_t version)
    {
        m_rows[at] = {encoded, version};
        auto &changes = m_changes[at.table];
        changes.push_back({version, at, encoded});
        while (changes.size() > 50'000) {
            m_forgotten[at.table] = changes.front().version;
            changes.pop_front();
        }
    }

    json describe(const place &at) const
    {
        json result {{"table", at.table}, {"part", at.part}, {"key", at.key}, {"ver", 0}};
        if (const auto found = m_rows.find(at); found != m_rows.end()) {
            result["ver"] = found->second.version;
            result["value"] = found->second.value;
        }
        return result;
    }

    static place placeOf(const json &entry)
    {
        return {entry.at("table").get<std::string>(), entry.at("part").get<std::string>(),
                entry.at("key").get<std::string>()};
    }

    void commit(std::size_t machine, const net::request &request)
    {
        if (rejected.contains(machine)) {
            m_loop.answer(request, 503, "{}");
            return;
        }
        const auto body = json::parse(request.content.body);
        bool isMet = true;
        json current = json::array();
        for (const auto &entry : body.at("expected")) {
            auto found = describe(placeOf(entry));
            isMet = isMet && found.at("ver") == entry.at("ver");
            current.push_back(std::move(found));
        }
        std::size_t largest = 0;
        for (const auto &entry : body.at("setKeys")) {
            largest = std::max(largest, base64Decode(entry.at("value").get<std::string>()).size());
        }
        if (largest > largestRow) {
            largestRow = largest;
        }
        if (largest > m_limits.rowBytes
            || body.at("expected").size() + body.at("setKeys").size() + body.at("remove").size() > 100) {
            if (tooLarge++ == 0) {
                m_record.line("store: refuses a row of " + std::to_string(largest) + " bytes for the first time");
            }
            m_loop.answer(request, 400, "{}");
            return;
        }
        const json clock {{"ver", m_version}, {"nowMs", net::nowMs()}};
        if (!isMet) {
            auto answer = clock;
            answer["rows"] = current;
            m_loop.answer(request, 412, answer.dump());
            return;
        }
        ++m_version;
        for (const auto &entry : body.at("setKeys")) {
            write(placeOf(entry), entry.at("value").get<std::string>(), m_version);
        }
        for (const auto &entry : body.at("remove")) {
            const auto at = placeOf(entry);
            if (m_rows.erase(at) > 0) {
                m_changes[at.table].push_back({m_version, at, std::nullopt});
            }
        }
        if (!body.at("expected").empty()) {
            m_lastWriter = machine;
        }
        m_loop.answer(request, 200, json {{"ver", m_version}, {"nowMs", net::nowMs()}}.dump());
    }

    void read(const net::request &request)
    {
        const auto table = query(request, "table");
        const auto part = query(request, "part");
        const auto to = query(request, "target");
        const auto limitText = query(request, "limit");
        const auto limit = std::min<std::size_t>(500, limitText.empty() ? 500 : std::stoul(limitText));
        json rows = json::array();
        bool hasMore = false;
        std::size_t bytes = 0;
        for (auto each = m_rows.lower_bound({table, part, query(request, "from")});
             each != m_rows.end() && each->first.table == table && each->first.part == part
             && (to.empty() || each->first.key < to);
             ++each) {
            if (rows.size() >= limit || (bytes > 0 && bytes + each->second.value.size() > 1'000'000)) {
                hasMore = true;
                break;
            }
            bytes += each->second.value.size();
            rows.push_back(describe(each->first));
        }
        m_loop.answer(
            request, 200,
            json {{"rows", rows}, {"hasMore", hasMore}, {"ver", m_version}, {"nowMs", net::nowMs()}}.dump());
    }

    void feed(const net::request &request, std::int64_t until)
    {
        const auto table = query(request, "table");
        const auto after = number(request, "after");
        if (after < m_forgotten[table]) {
            m_loop.answer(request, 410, "{}");
            return;
        }
        json rows = json::array();
        const auto &changes = m_changes[table];
        for (auto each = changes.rbegin(); each != changes.rend() && each->version > after; ++each) {
            json entry {{"table", each->at.table}, {"part", each->at.part}, {"key", each->at.key},
                        {"ver", each->version}};
            if (each->value) {
                entry["value"] = *each->value;
            } else {
                entry["deleted"] = true;
            }
            rows.push_back(std::move(entry));
        }
        std::reverse(rows.begin(), rows.end());
        if (rows.empty() && net::nowMs() < until) {
            m_loop.after(20, [this, request, until] { feed(request, until); });
            return;
        }
        m_loop.answer(request, 200, json {{"rows", rows}, {"ver", m_version}, {"nowMs", net::nowMs()}}.dump());
    }

    net::loop &m_loop;
    recorder &m_record;
    bounds m_limits;
    std::map<place, row> m_rows;
    std::map<std::string, std::deque<change>> m_changes; // by table
    std::map<std::string, std::int64_t> m_forgotten;
    std::int64_t m_version = 0;
    std::int64_t m_busyUntil = 0;
    std::optional<std::size_t> m_lastWriter;
};

// One run of a task, as its executor saw it.
struct run_record
{
    std::string executor;
    std::int64_t attempt = 0;
    std::int64_t startedAt = 0;
    std::int64_t endedAt = -1; // -1 while it runs
    std::string how; // of its end; "crash" if its executor went down
    bool isNoted = false; // its end was taken note of
    std::string checkpoint; // with which it started
};

using run_log = std::map<std::string, std::vector<run_record>>; // by task

// How the tasks of a job behave, from its `spec`: `work=A,B` gives the work of each step in milliseconds, `saves` that
// they write checkpoints, `lasts` that they run until they are stopped, `gang=N` that they are a gang of N.
struct behaviour
{
    std::int64_t workMs = 0;
    std::size_t gang = 0; // number of members; 0 if it is none
    bool saves = false;
    bool lasts = false;
};

inline behaviour behaviourOf(const std::string &spec, const std::string &task)
{
    behaviour result;
    const auto afterIndex = task.rfind('.');
    const auto afterStep = task.rfind('.', afterIndex - 1);
    const auto step = std::stoi(task.substr(afterStep + 1));
    auto at = spec.find("work=");
    for (int i = 0; at != std::string::npos; ++i) {
        at = spec.find_first_of("0123456789", at);
        result.workMs = std::stoll(spec.substr(at));
        at = spec.find_first_not_of("0123456789", at);
        if (i == step || at == std::string::npos || spec[at] != ',') {
            break;
        }
    }
    result.saves = spec.find("saves") != std::string::npos;
    if (const auto gang = spec.find("gang="); gang != std::string::npos) {
        result.gang = std::stoul(spec.substr(gang + 5));
    }
    result.lasts = spec.find("lasts") != std::string::npos;
    return result;
}

// The members of a gang's attempt that run, on all executors.
struct gang_state
{
    std::set<std::string> members;
    std::int64_t completeSince = -1; // when all of them were there; -1 before
    bool isBroken = false; // a member has ended before the work was done
    bool isDone = false;
};

using gang_table = std::map<std::pair<std::string, std::int64_t>, gang_state>;

class executor
{
public:
    executor(net::loop &events, table_store &store, recorder &record, run_log &runs, const bounds &limits,
             std::string id, std::string address, json shape)
        : m_loop(events)
        , m_store(store)
        , m_record(record)
        , m_log(runs)
        , m_limits(limits)
        , m_id(std::move(id))
        , m_address(std::move(address))
        , m_shape(std::move(shape))
    {
    }

    const std::string &id() const
    {
        return m_id;
    }

    bool isUp() const
    {
        return m_server >= 0;
    }

    bool isIdle() const
    {
        return m_active.empty();
    }

    // Starts a new life. It knows nothing of the one before.
    bool boot()
    {
        using namespace std::chrono;
        ++m_life;
        m_born = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count() + clockOffsetMs;
        m_bootedAt = net::nowMs();
        m_fence = 0;
        m_leaseEnd = 0;
        m_lastEnd = 0;
        m_noted = 0;
        m_sequence = 0;
        m_active.clear();
        m_barred.clear();
        m_ends.clear();
        m_server = m_loop.listen(m_address, [this](const net::request &request) { serve(request); });
        if (m_server < 0) {
            return false;
        }
        beat(m_life);
        tick(m_life);
        return true;
    }

    // A cut between it and all daemons begins. What runs there goes on, and it still reaches the store.
    void cut()
    {
        m_isCut = true;
    }

    // The cut ends. What was sent during it is lost; new calls arrive.
    void heal()
    {
        m_isCut = false;
        m_held.clear();
    }

    gang_table *gangs = nullptr;

    // Its process ends at once, and all that ran there.
    void crash()
    {
        m_loop.endServer(std::exchange(m_server, -1));
        ++m_life;
        for (auto &[task, active] : m_active) {
            leaveGang(task, active, "crash");
            finishRecord(task, active.attempt, "crash");
        }
        m_active.clear();
    }

    std::int64_t endsNotNoted() const
    {
        return static_cast<std::int64_t>(m_ends.size());
    }

    std::int64_t totalEnds = 0; // of all lives
    std::int64_t totalNoted = 0;
    std::int64_t clockOffsetMs = 0; // by which its time of day is ahead

private:
    struct active_run
    {
        std::int64_t attempt = 0;
        behaviour how;
        std::int64_t baseMs = 0; // work that the checkpoint brought
        std::int64_t beganAt = 0; // the work goes on since then
        std::int64_t stopsAt = -1; // -1 unless it is being stopped
        std::string checkpoint;
    };

    struct end_record
    {
        std::int64_t number;
        std::string task;
        std::int64_t attempt;
        std::string how;
        std::string saved;
    };

    std::int64_t clock() const
    {
        return net::nowMs() - m_bootedAt + 1'000;
    }

    void beat(std::int64_t life)
    {
        if (life != m_life) {
            return;
        }
        json entry = m_shape;
        entry["address"] = m_address;
        entry["version"] = "v1";
        entry["slots"] = 8;
        entry["state"] = "ready";
        entry["coldRemainingMs"] = 0;
        entry["clockMs"] = clock();
        entry["born"] = m_born;
        entry["seq"] = ++m_sequence;
        m_store.put("servers", m_id, entry.dump());
        m_loop.after(m_limits.heartbeatMs, [this, life] { beat(life); });
    }

    run_record *recordOf(const std::string &task, std::int64_t attempt)
    {
        for (auto &each : m_log[task]) {
            if (each.executor == m_id && each.attempt == attempt && each.endedAt < 0) {
                return &each;
            }
        }
        return nullptr;
    }

    void finishRecord(const std::string &task, std::int64_t attempt, const std::string &how)
    {
        if (auto *found = recordOf(task, attempt)) {
            found->endedAt = m_record.time();
            found->how = how;
        }
        if (recordsRuns) {
            m_record.line("run " + task + " attempt " + std::to_string(attempt) + " on " + m_id + " ends: " + how);
        }
    }

    std::int64_t workOf(const active_run &active) const
    {
        return active.baseMs + std::max<std::int64_t>(0, net::nowMs() - active.beganAt);
    }

    std::string savedOf(const active_run &active, bool isStop) const
    {
        if (!active.how.saves) {
            return {};
        }
        auto work = workOf(active);
        if (!isStop) {
            work -= work % m_limits.checkpointMs;
        }
        if (work <= active.baseMs) {
            return active.checkpoint;
        }
        char text[32];
        std::snprintf(text, sizeof text, "%08llx%08x", static_cast<unsigned long long>(work), 0x5a5a0000U);
        return text;
    }

    void end(const std::string &task, const std::string &how, const std::string &saved)
    {
        const auto active = m_active.at(task);
        m_active.erase(task);
        leaveGang(task, active, how);
        auto &barred = m_barred[task];
        barred = std::max(barred, active.attempt);
        m_ends.push_back({++m_lastEnd, task, active.attempt, how, saved});
        ++totalEnds;
        finishRecord(task, active.attempt, how);
    }

    void tick(std::int64_t life)
    {
        if (life != m_life) {
            return;
        }
        const auto now = net::nowMs();
        std::vector<std::tuple<std::string, std::string, std::string>> over;
        for (const auto &[task, active] : m_active) {
            if (clock() >= m_leaseEnd) {
                over.emplace_back(task, "lapsed", savedOf(active, false));
            } else if (active.stopsAt >= 0) {
                if (now >= active.stopsAt) {
                    over.emplace_back(task, "stopped", savedOf(active, true));
                }
            } else if (active.how.gang > 0) {
                if (const auto how = endOfMember(task, active); !how.empty()) {
                    over.emplace_back(task, how, "");
                }
            } else if (!active.how.lasts && workOf(active) >= active.how.workMs) {
                over.emplace_back(task, "done", "");
            }
        }
        for (const auto &[task, how, saved] : over) {
            end(task, how, saved);
        }
        m_loop.after(5, [this, life] { tick(life); });
    }

    bool isFenced(const json &body)
    {
        const auto fence = body.value("fencingToken", std::int64_t {0});
        if (fence < m_fence) {
            return true;
        }
        m_fence = fence;
        return false;
    }

    void extend(const json &body)
    {
        if (body.contains("deadlineMs")) {
            const auto deadline = body.at("deadlineMs").get<std::int64_t>();
            m_leaseEnd = std::max(m_leaseEnd, std::min(deadline, clock() + m_limits.holdMaxMs));
        }
    }

    void refuse(const net::request &request, const std::string &reason)
    {
        m_loop.answer(request, 409, json {{"clockMs", clock()}, {"reason", reason}}.dump());
    }

    gang_state &gangOf(const std::string &task, std::int64_t attempt)
    {
        return (*gangs)[{task.substr(0, task.rfind('.')), attempt}];
    }

    void leaveGang(const std::string &task, const active_run &active, const std::string &how)
    {
        if (active.how.gang > 0) {
            auto &gang = gangOf(task, active.attempt);
            gang.members.erase(task);
            gang.isBroken = gang.isBroken || (how != "done" && !gang.isDone);
        }
    }

    // How a member of a gang ends now; empty if it goes on.
    std::string endOfMember(const std::string &task, const active_run &active)
    {
        auto &gang = gangOf(task, active.attempt);
        const auto now = net::nowMs();
        if (gang.isDone) {
            return "done";
        }
        if (gang.isBroken) {
            return "broken";
        }
        if (gang.members.size() >= active.how.gang && gang.completeSince < 0) {
            gang.completeSince = now;
        }
        if (gang.completeSince < 0) {
            return now >= active.beganAt + m_limits.gangTimeoutMs ? "alone" : "";
        }
        gang.isDone = now >= gang.completeSince + active.how.workMs;
        return gang.isDone ? "done" : "";
    }

    void serve(const net::request &request)
    {
        if (m_isCut) {
            m_held.push_back(request);
            return;
        }
        const auto &content = request.content;
        const auto expected = content.headers.find("expected-instance");
        if (expected != content.headers.end() && expected->second != m_id) {
            m_loop.answer(request, 421, "{}");
            return;
        }
        const auto body = json::parse(content.body.empty() ? "{}" : content.body);
        if (content.target == "/run-start") {
            start(request, body);
        } else if (content.target == "/run-stop") {
            stop(request, body);
        } else if (content.target == "/hold") {
            if (isFenced(body)) {
                refuse(request, "fence");
                return;
            }
            extend(body);
            note(body.value("lastSeen", std::int64_t {0}));
            list(request, net::nowMs() + std::min<std::int64_t>(body.value("waitMs", std::int64_t {0}), 2'000), m_life);
        } else {
            m_loop.answer(request, 200, json {{"clockMs", clock()}}.dump());
        }
    }

    void note(std::int64_t lastSeen)
    {
        std::erase_if(m_ends, [&](const end_record &each) {
            if (each.number > lastSeen) {
                return false;
            }
            ++totalNoted;
            for (auto &run : m_log[each.task]) {
                if (run.executor == m_id && run.attempt == each.attempt) {
                    run.isNoted = true;
                }
            }
            return true;
        });
    }

    void list(const net::request &request, std::int64_t until, std::int64_t life)
    {
        if (life != m_life) {
            return;
        }
        if (m_isCut || (m_ends.empty() && net::nowMs() < until)) {
            m_loop.after(5, [this, request, until, life] { list(request, until, life); });
            return;
        }
        json running = json::array();
        for (const auto &[task, active] : m_active) {
            if (active.stopsAt >= 0) {
                continue;
            }
            const auto whole = active.how.lasts ? m_limits.startUpMs : std::max<std::int64_t>(1, active.how.workMs);
            running.push_back(json::array({task, active.attempt, savedOf(active, false),
                                           std::min<std::int64_t>(100, workOf(active) * 100 / whole), 0}));
        }
        json finished = json::array();
        for (std::size_t i = 0; i < m_ends.size() && i < 500; ++i) {
            const auto &each = m_ends[i];
            finished.push_back(json::array({each.number, each.task, each.attempt, each.how, each.saved}));
        }
        m_loop.answer(request, 200,
                      json {{"clockMs", clock()}, {"born", m_born}, {"running", running}, {"finished", finished}}.dump());
    }

    void start(const net::request &request, const json &body)
    {
        if (isFenced(body)) {
            refuse(request, "fence");
            return;
        }
        extend(body);
        const auto task = body.at("task").get<std::string>();
        const auto attempt = body.at("attempt").get<std::int64_t>();
        if (const auto found = m_active.find(task); found != m_active.end() && found->second.attempt == attempt) {
            m_loop.answer(request, 200, json {{"clockMs", clock()}}.dump());
            return;
        }
        if (const auto barred = m_barred.find(task); barred != m_barred.end() && attempt <= barred->second) {
            refuse(request, "old");
            return;
        }
        if (body.at("deadlineMs").get<std::int64_t>() <= clock() || m_active.contains(task)) {
            refuse(request, "late");
            return;
        }
        active_run active;
        active.attempt = attempt;
        active.how = behaviourOf(body.at("spec").get<std::string>(), task);
        active.checkpoint = body.value("checkpoint", "");
        active.beganAt = net::nowMs();
        if (!active.checkpoint.empty()) {
            active.baseMs = std::stoll(active.checkpoint.substr(0, 8), nullptr, 16);
            active.beganAt += m_limits.restoreMs;
        }
        m_active[task] = active;
        if (active.how.gang > 0) {
            gangOf(task, attempt).members.insert(task);
        }
        m_log[task].push_back({m_id, attempt, m_record.time(), -1, "", false, active.checkpoint});
        if (recordsRuns) {
            m_record.line("run " + task + " attempt " + std::to_string(attempt) + " on " + m_id + " starts"
                          + (active.checkpoint.empty() ? "" : " from " + active.checkpoint));
        }
        m_loop.answer(request, 200, json {{"clockMs", clock()}}.dump());
    }

    void stop(const net::request &request, const json &body)
    {
        if (isFenced(body)) {
            refuse(request, "fence");
            return;
        }
        const auto task = body.at("task").get<std::string>();
        const auto attempt = body.at("attempt").get<std::int64_t>();
        auto &barred = m_barred[task];
        barred = std::max(barred, attempt);
        const auto found = m_active.find(task);
        if (found != m_active.end() && found->second.attempt <= attempt && found->second.stopsAt < 0) {
            found->second.stopsAt = net::nowMs() + m_limits.stopMs;
            if (recordsRuns) {
                m_record.line("run " + task + " attempt " + std::to_string(attempt) + " on " + m_id + " is told to stop");
            }
        }
        m_loop.answer(request, 200, json {{"clockMs", clock()}}.dump());
    }

    net::loop &m_loop;
    table_store &m_store;
    recorder &m_record;
    run_log &m_log;
    bounds m_limits;
    std::string m_id;
    std::string m_address;
    json m_shape;
    int m_server = -1;
    std::int64_t m_life = 0;
    std::int64_t m_born = 0;
    std::int64_t m_bootedAt = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::int64_t m_lastEnd = 0;
    std::int64_t m_noted = 0;
    std::int64_t m_sequence = 0;
    std::map<std::string, active_run> m_active;
    std::map<std::string, std::int64_t> m_barred;
    std::deque<end_record> m_ends;
    bool m_isCut = false;
    std::vector<net::request> m_held; // calls that the cut holds up

public:
    bool recordsRuns = true;
};
