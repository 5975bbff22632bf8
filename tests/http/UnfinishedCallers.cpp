#include "http/UnfinishedCallers.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fcntl.h>
#include <netinet/in.h>
#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Catkinwell::Testing {

namespace {

    using Deadline = std::chrono::steady_clock::time_point;

    constexpr std::size_t largeChunk = 256 * 1024;
    constexpr std::size_t bytesPerWrite = 256 * 1024;
    constexpr auto pollInterval = std::chrono::milliseconds(20);
    constexpr long certificateSeconds = 3600;

    std::string chunk(std::size_t size)
    {
        std::array<char, 24> line {};
        const int digits = std::snprintf(line.data(), line.size(), "%zx\r\n", size);
        return std::string(line.data(), static_cast<std::size_t>(digits)) + std::string(size, 'x') + "\r\n";
    }

    std::string chunks(std::size_t bytes, std::size_t size)
    {
        std::string text;
        for (std::size_t sent = 0; sent < bytes; sent += size)
            text += chunk(std::min(size, bytes - sent));
        return text;
    }

    bool isChunked(BodyShape shape)
    {
        return shape == BodyShape::LargeChunks || shape == BodyShape::OneByteChunks || shape == BodyShape::SentTooLong;
    }

    std::string requestText(const UnfinishedLoad& load, const std::string& head)
    {
        if (!isChunked(load.shape))
            return head + "Content-Length: " + std::to_string(load.bodyBytes) + "\r\n\r\n"
                + std::string(load.bodyBytes - 1, 'x');
        const std::size_t size = load.shape == BodyShape::OneByteChunks ? 1 : largeChunk;
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks(load.bodyBytes, size);
    }

} // namespace

void writeCertificate(const std::string& certificateFile, const std::string& keyFile)
{
    EVP_PKEY* key = EVP_EC_gen("P-256");
    X509* certificate = X509_new();
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -certificateSeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate), certificateSeconds);
    X509_set_pubkey(certificate, key);
    X509_NAME* name = X509_get_subject_name(certificate);
    X509_NAME_add_entry_by_txt(
        name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>("localhost"), -1, -1, 0);
    X509_set_issuer_name(certificate, name);
    bool isWritten = X509_sign(certificate, key, EVP_sha256()) > 0;
    if (std::FILE* file = std::fopen(certificateFile.c_str(), "w")) {
        isWritten = isWritten && PEM_write_X509(file, certificate) == 1;
        std::fclose(file);
    }
    if (std::FILE* file = std::fopen(keyFile.c_str(), "w")) {
        isWritten = isWritten && PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr) == 1;
        std::fclose(file);
    }
    X509_free(certificate);
    EVP_PKEY_free(key);
    if (!isWritten)
        throw std::runtime_error("the certificate cannot be written");
}

// One connection, over TLS or not. It neither reads nor writes more than the peer takes at once.
class UnfinishedCallers::Caller {
public:
    Caller(std::uint16_t port, bool usesTls)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_isOpen = connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        if (m_isOpen && usesTls)
            startTls();
        fcntl(m_socket, F_SETFL, O_NONBLOCK);
    }

    ~Caller()
    {
        SSL_free(m_session);
        SSL_CTX_free(m_context);
        close(m_socket);
    }
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    int descriptor() const { return m_socket; }
    bool isOpen() const { return m_isOpen; }
    bool isSending(const std::string& text) const { return m_isOpen && m_sent < text.size(); }
    void restart() { m_sent = 0; }

    void write(const std::string& text)
    {
        const std::size_t size = std::min(bytesPerWrite, text.size() - m_sent);
        ssize_t written = 0;
        if (m_session) {
            written = SSL_write(m_session, text.data() + m_sent, static_cast<int>(size));
            const int error = SSL_get_error(m_session, static_cast<int>(written));
            m_isOpen = written > 0 || error == SSL_ERROR_WANT_WRITE || error == SSL_ERROR_WANT_READ;
        } else {
            written = ::send(m_socket, text.data() + m_sent, size, MSG_NOSIGNAL);
            m_isOpen = written > 0 || errno == EAGAIN;
        }
        m_sent += written > 0 ? static_cast<std::size_t>(written) : 0;
    }

    // Whether a status line has arrived.
    bool hasAnswer()
    {
        std::array<char, 4096> bytes {};
        const ssize_t size = m_session ? SSL_read(m_session, bytes.data(), static_cast<int>(bytes.size()))
                                       : recv(m_socket, bytes.data(), bytes.size(), 0);
        if (size > 0)
            m_received.append(bytes.data(), static_cast<std::size_t>(size));
        return m_received.starts_with("HTTP/1.1 ");
    }

private:
    void startTls()
    {
        // A listener that is full may refuse the connection; the handshake then waits for at most this time.
        const timeval longest { 5, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof(longest));
        m_context = SSL_CTX_new(TLS_client_method());
        SSL_CTX_set_mode(m_context, SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
        m_session = SSL_new(m_context);
        SSL_set_fd(m_session, m_socket);
        m_isOpen = SSL_connect(m_session) == 1;
    }

    int m_socket;
    SSL_CTX* m_context = nullptr;
    SSL* m_session = nullptr;
    bool m_isOpen = false;
    std::size_t m_sent = 0;
    std::string m_received;
};

UnfinishedCallers::UnfinishedCallers(UnfinishedLoad load, std::vector<std::uint16_t> ports, std::string head)
    : m_load(load)
    , m_ports(std::move(ports))
    , m_wire(requestText(load, head))
    , m_end(isChunked(load.shape) ? "0\r\n\r\n" : "x")
{
}

UnfinishedCallers::~UnfinishedCallers() = default;

void UnfinishedCallers::send(std::chrono::milliseconds longest)
{
    const Deadline deadline = std::chrono::steady_clock::now() + longest;
    for (std::size_t i = 0; i < m_load.connections; ++i)
        m_callers.push_back(std::make_unique<Caller>(m_ports[i % m_ports.size()], m_load.usesTls));
    bool isSending = true;
    while (isSending && std::chrono::steady_clock::now() < deadline) {
        std::vector<pollfd> waiting;
        std::vector<Caller*> senders;
        for (const auto& caller : m_callers) {
            if (!caller->isSending(m_wire))
                continue;
            waiting.push_back({ caller->descriptor(), POLLOUT, 0 });
            senders.push_back(caller.get());
        }
        isSending = !senders.empty();
        poll(waiting.data(), waiting.size(), static_cast<int>(pollInterval.count()));
        for (std::size_t i = 0; i < senders.size(); ++i) {
            if (waiting[i].revents != 0)
                senders[i]->write(m_wire);
        }
    }
}

std::size_t UnfinishedCallers::finishHalf(std::chrono::milliseconds longest)
{
    const Deadline deadline = std::chrono::steady_clock::now() + longest;
    std::size_t answered = 0;
    std::vector<Caller*> finishing;
    for (std::size_t i = 0; i < m_callers.size(); i += 2)
        finishing.push_back(m_callers[i].get());
    for (Caller* caller : finishing) {
        caller->restart();
        if (caller->isOpen())
            caller->write(m_end);
    }
    while (answered < finishing.size() && std::chrono::steady_clock::now() < deadline) {
        answered = static_cast<std::size_t>(
            std::count_if(finishing.begin(), finishing.end(), [](Caller* caller) { return caller->hasAnswer(); }));
        std::this_thread::sleep_for(pollInterval);
    }
    return answered;
}

void UnfinishedCallers::disconnect() { m_callers.clear(); }

} // namespace Catkinwell::Testing
