#include "http/TlsContext.h"

#include <openssl/ssl.h>

namespace Catkinwell {

Result<std::unique_ptr<TlsContext>> TlsContext::load(const TlsFiles& files)
{
    std::unique_ptr<TlsContext> context(new TlsContext(SSL_CTX_new(TLS_server_method())));
    SSL_CTX_set_min_proto_version(context->m_context, TLS1_2_VERSION);
    if (SSL_CTX_use_certificate_chain_file(context->m_context, files.certificateFile.c_str()) != 1)
        return Error { ErrorKind::InvalidSettings,
            "the certificate file \"" + files.certificateFile + "\" is not a readable PEM certificate chain" };
    if (SSL_CTX_use_PrivateKey_file(context->m_context, files.privateKeyFile.c_str(), SSL_FILETYPE_PEM) != 1
        || SSL_CTX_check_private_key(context->m_context) != 1)
        return Error { ErrorKind::InvalidSettings,
            "the key file \"" + files.privateKeyFile + "\" is not a readable PEM key that matches the certificate" };
    return context;
}

TlsContext::~TlsContext() { SSL_CTX_free(m_context); }

ssl_st* TlsContext::newSession() { return SSL_new(m_context); }

} // namespace Catkinwell
