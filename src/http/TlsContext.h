#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/http/CallerListener.h>
#include <memory>

struct ssl_ctx_st;
struct ssl_st;

namespace Catkinwell {

// The server's certificate and key, TLS 1.2 or newer. Not thread safe.
class TlsContext {
public:
    // Errors: InvalidSettings if a file cannot be read or the key does not match the certificate.
    static Result<std::unique_ptr<TlsContext>> load(const TlsFiles&);

    ~TlsContext();
    TlsContext(const TlsContext&) = delete;
    TlsContext& operator=(const TlsContext&) = delete;

    // Returns a new session, owned by the caller. A session keeps the certificate alive.
    ssl_st* newSession();

private:
    explicit TlsContext(ssl_ctx_st* context)
        : m_context(context)
    {
    }

    ssl_ctx_st* m_context;
};

} // namespace Catkinwell
