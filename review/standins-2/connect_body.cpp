// Case 7: the body of a request with the method CONNECT reads like a request. Does a server run it?
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
    loop.run(nowMs() + 4000);
    record.line("ready");
    const std::string method = hasTrouble() ? "CONNECT" : "POST";
    constexpr int requests = 20;
    int answers = 0;
    std::map<std::string, std::string> bodies;
    for (int i = 0; i < requests; ++i) {
        const Gateway& gateway = site.gateways[static_cast<std::size_t>(i) % site.gateways.size()];
        const std::string id = "order-" + std::to_string(i + 1);
        // What a user of the client wrote, say a log of another request that is to be kept. It names no key of its own
        // that the client does not hold.
        const std::string body = headText("POST /order/9a HTTP/1.1",
                                     withKey({ { "Host", "ficu95.example" }, { "Catkinwell-Request-Id", "inside-" + id },
                                         { "Catkinwell-Deadline-Ms", "1500" }, { "Content-Length", "6" } }))
            + "grease";
        bodies[id] = body;
        loop.after(100 * i, [&, id, body] {
            auto c = loop.connect(gateway.front);
            auto reader = std::make_shared<Reader>();
            c->onOpen = [&, id, body](Connection& open) {
                record.line("send " + id + " to " + gateway.name + ": " + method + " /order/2f with a body of "
                    + std::to_string(body.size()) + " bytes");
                open.write(headText(method + " /order/2f HTTP/1.1",
                               withKey({ { "Host", "ficu95.example" }, { "Catkinwell-Request-Id", id },
                                   { "Catkinwell-Deadline-Ms", "1500" },
                                   { "Content-Length", std::to_string(body.size()) } }))
                    + body);
            };
            c->onData = [&, id, reader](Connection& open) {
                while (open.isOpen() && reader->read(open.in, true)) {
                    ++answers;
                    record.line("answer on the channel of " + id + ": " + reader->message.startLine + ", to "
                        + reader->message.header("Catkinwell-Request-Id") + ", " + reader->message.body);
                    reader->clear();
                }
            };
            c->onClosed = [&, id](Connection&, bool) { record.line("closed the channel of " + id); };
            loop.after(2500, [c] { c->close(); });
        });
    }
    loop.run(nowMs() + 100 * requests + 3000);
    int smuggled = 0;
    int changed = 0;
    for (const Run& run : site.runs) {
        const bool isInside = run.id.starts_with("inside-");
        const bool isChanged = !isInside && (run.method != method || run.body != bodies[run.id]);
        smuggled += isInside ? 1 : 0;
        changed += isChanged ? 1 : 0;
        record.line("ran " + run.id + " at " + run.server + ": " + run.method + " " + run.target + " with "
            + std::to_string(run.body.size()) + " bytes" + (isInside ? " SMUGGLED" : isChanged ? " CHANGED" : ""));
    }
    const std::string text = "requests " + std::to_string(requests) + ", answers " + std::to_string(answers) + ", runs "
        + std::to_string(site.runs.size()) + ", smuggled " + std::to_string(smuggled) + ", changed "
        + std::to_string(changed);
    record.line(text);
    std::printf("%s\n", text.c_str());
    for (Gateway& gateway : site.gateways)
        gateway.killAndWait();
    if (Loop::isTerminated() || (!hasTrouble() && answers < requests))
        return 2;
    return smuggled + changed > 0 ? 1 : 0;
}
