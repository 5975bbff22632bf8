// Case 6: a client names an adapter with a byte that is not UTF-8. Do the gateways live, and are orders answered?
#include "servers.h"

using namespace Stand;

int main(int argc, char** argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const Folder temporary;
    const std::string& folder = temporary.path();
    Loop loop;
    Installation site(loop, record, folder);
    if (!site.waitUntilReady(12000)) {
        record.line("the gateways did not become ready");
        return 2;
    }
    // The owner of the placement waits for its silence before its first order.
    loop.run(nowMs() + 5000);
    record.line("ready");
    const bool trouble = hasTrouble();
    for (auto& server : site.plain)
        server->workMs = 100;
    int orders = 0;
    int answered = 0;
    int lost = 0;
    const std::int64_t until = nowMs() + 15000;
    // Clients with a channel that they keep, six at each gateway, send one order after another.
    std::function<void(const Gateway&, const std::string&)> keepOrdering;
    keepOrdering = [&](const Gateway& gateway, const std::string& key) {
        auto c = loop.connect(gateway.front);
        auto reader = std::make_shared<Reader>();
        auto current = std::make_shared<std::string>();
        auto onThisChannel = std::make_shared<int>(0);
        const auto send = [&, current, onThisChannel, key](Connection& open) {
            if (nowMs() >= until) {
                open.close();
                return;
            }
            *current = "order-" + std::to_string(++orders);
            ++*onThisChannel;
            record.line("send " + *current + " to " + gateway.name);
            const Headers headers = withKey({ { "Host", "ficu95.example" }, { "Catkinwell-Request-Id", *current },
                { "Catkinwell-Deadline-Ms", "1500" }, { "Content-Length", "6" } },
                key);
            open.write(headText("POST /order/2f HTTP/1.1", headers) + "grease");
        };
        c->onOpen = send;
        c->onData = [&, reader, current, send, key](Connection& open) {
            if (!reader->read(open.in, true))
                return;
            answered += reader->message.status() == 200 ? 1 : 0;
            record.line("end " + *current + " status " + std::to_string(reader->message.status()));
            const bool isKept = lower(reader->message.header("Connection")) != "close";
            reader->clear();
            current->clear();
            if (!isKept) {
                open.close();
                loop.after(100, [&, key] { keepOrdering(gateway, key); });
                return;
            }
            loop.after(20, [send, channel = open.shared_from_this()] {
                if (channel->isOpen())
                    send(*channel);
            });
        };
        c->onClosed = [&, current, onThisChannel, key](Connection&, bool) {
            const bool hasRun = std::any_of(
                site.runs.begin(), site.runs.end(), [&](const Run& run) { return run.id == *current; });
            // A kept channel that has answered before, and a request that a sound server has begun.
            const bool isLost = !current->empty() && hasRun && *onThisChannel > 1;
            lost += isLost ? 1 : 0;
            record.line("closed by " + gateway.name + (current->empty() ? "" : " with " + *current)
                + (isLost ? ", which ran: LOST" : ""));
            if (nowMs() < until)
                loop.after(100, [&, key] { keepOrdering(gateway, key); });
        };
    };
    for (const Gateway& gateway : site.gateways) {
        for (int i = 0; i < 6; ++i)
            keepOrdering(gateway, i % 2 == 0 ? "q4m81zt6c0xw7pyeh2us" : "b7k35rn9v1jd8agot4lx");
    }
    // The same request to each gateway in turn, as a client that tries again sends it.
    const std::string adapter = trouble ? "Wartungsh\xfcter" : "a3";
    int notes = 0;
    std::function<void()> nextNote;
    nextNote = [&] {
        if (nowMs() >= until - 2000 || notes >= 8)
            return;
        const Gateway& gateway = site.gateways[static_cast<std::size_t>(notes) % site.gateways.size()];
        const std::string id = "note-" + std::to_string(++notes);
        record.line("send " + id + " to " + gateway.name);
        call(loop, gateway.front,
            { id, "POST", "/note/2f",
                withKey({ { "Catkinwell-Model", "m0/" + adapter }, { "Catkinwell-Token-Usage", "1460,80" },
                    { "Catkinwell-Prompt-Prefix", "5c1e07a2:800,e4402b7d:660" } }),
                "prompt", 2400 },
            [&, id](const Answer& answer) { record.line("end " + id + " status " + std::to_string(answer.status)); });
        loop.after(1500, nextNote);
    };
    loop.after(2000, nextNote);
    int ended = 0;
    std::function<void()> watch;
    watch = [&] {
        for (Gateway& gateway : site.gateways) {
            if (!gateway.hasEnded())
                continue;
            ++ended;
            record.line("ENDED " + gateway.name + " by itself, wait status " + std::to_string(gateway.lastStatus));
            // The platform restarts a process that ended after a short delay.
            loop.after(500, [&gateway, &folder] { gateway.start(folder); });
        }
        loop.after(20, watch);
    };
    watch();
    loop.run(until + 2000);
    record.line("processes ended by themselves: " + std::to_string(ended) + ", orders " + std::to_string(orders)
        + ", answered " + std::to_string(answered) + ", lost " + std::to_string(lost));
    for (const auto& server : site.models)
        record.line(server->id + " orders " + std::to_string(server->orders));
    std::printf("ended %d, orders %d, answered %d, lost %d\n", ended, orders, answered, lost);
    for (Gateway& gateway : site.gateways)
        gateway.killAndWait();
    if (Loop::isTerminated() || (!trouble && answered < orders * 9 / 10))
        return 2;
    // LOST: more than three requests were passed on from a kept channel that ended without an answer.
    return lost > 3 ? 1 : 0;
}
