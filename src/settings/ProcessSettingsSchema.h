#pragma once

namespace Catkinwell {

// JSON Schema of the process settings. docs/configuration.md explains each field.
inline constexpr const char* processSettingsSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["host", "data_centre", "callers", "administration", "peers", "store"],
  "properties": {
    "host": { "type": "string", "minLength": 1, "maxLength": 64 },
    "data_centre": { "type": "string", "minLength": 1, "maxLength": 64 },
    "memory_mb": { "type": "integer", "minimum": 16, "maximum": 1048576 },
    "callers": {
      "type": "object", "additionalProperties": false, "required": ["listen"],
      "properties": {
        "listen": { "type": "string" },
        "maximum_body_bytes": { "type": "integer", "minimum": 1024, "maximum": 67108864 },
        "idle_timeout_seconds": { "type": "integer", "minimum": 1, "maximum": 3600 },
        "minimum_body_bytes_per_second": { "type": "integer", "minimum": 0, "maximum": 1048576 },
        "tls": {
          "type": "object", "additionalProperties": false, "required": ["certificate_file", "private_key_file"],
          "properties": { "certificate_file": { "type": "string" }, "private_key_file": { "type": "string" } }
        }
      }
    },
    "administration": {
      "type": "object", "additionalProperties": false, "required": ["listen", "credentials"],
      "properties": {
        "listen": { "type": "string" },
        "maximum_body_bytes": { "type": "integer", "minimum": 1024, "maximum": 67108864 },
        "idle_timeout_seconds": { "type": "integer", "minimum": 1, "maximum": 3600 },
        "minimum_body_bytes_per_second": { "type": "integer", "minimum": 0, "maximum": 1048576 },
        "tls": {
          "type": "object", "additionalProperties": false, "required": ["certificate_file", "private_key_file"],
          "properties": { "certificate_file": { "type": "string" }, "private_key_file": { "type": "string" } }
        },
        "credentials": {
          "type": "array", "maxItems": 100,
          "items": {
            "type": "object", "additionalProperties": false, "required": ["name", "token_sha256", "roles"],
            "properties": {
              "name": { "type": "string", "minLength": 1 },
              "token_sha256": { "type": "string", "pattern": "^[0-9a-f]{64}$" },
              "roles": { "type": "array", "items": { "type": "string", "enum": ["read", "operate", "grant_keys"] } }
            }
          }
        }
      }
    },
    "peers": {
      "type": "object", "additionalProperties": false, "required": ["listen", "cluster_secret"],
      "properties": {
        "listen": { "type": "string" },
        "cluster_secret": {
          "type": "object", "additionalProperties": false,
          "oneOf": [ { "required": ["file"] }, { "required": ["environment"] } ],
          "properties": { "file": { "type": "string" }, "environment": { "type": "string" } }
        },
        "relay_listen": { "type": "string" },
        "seeds": { "type": "object" }
      }
    },
    "store": {
      "type": "object", "additionalProperties": false, "required": ["address"],
      "properties": { "address": { "type": "string" } }
    },
    "log": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "severity": { "type": "string", "enum": ["debug", "info", "warning", "error"] },
        "file": { "type": "string" }
      }
    },
    "source_address": { "type": "string" },
    "shutdown_grace_seconds": { "type": "integer", "minimum": 1, "maximum": 3600 }
  }
})json";

} // namespace Catkinwell
