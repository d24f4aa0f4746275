// The JSON Schema of a questionnaire.
#include "auburnlb/state/questionnaire.hpp"

namespace auburnlb
{

namespace
{

constexpr char schema_text[] = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Questionnaire of one service",
  "type": "object",
  "additionalProperties": false,
  "required": ["service", "kind", "places", "endpoints", "callers", "requests"],
  "properties": {
    "service": {
      "description": "Name of the service; callers use it as the model's name or the path's first part.",
      "type": "string",
      "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"
    },
    "kind": {
      "description": "A model answers with tokens, a plain service with HTTP responses.",
      "type": "string",
      "enum": ["model", "plain"]
    },
    "places": {
      "description": "Data centres in which the endpoints stand.",
      "type": "array",
      "minItems": 1,
      "uniqueItems": true,
      "items": { "type": "string", "minLength": 1, "maxLength": 64 }
    },
    "model": {
      "description": "Only for a model.",
      "type": "object",
      "additionalProperties": false,
      "required": ["layers"],
      "properties": {
        "layers": {
          "description": "Depth of the model.",
          "type": "integer", "minimum": 0, "maximum": 100000
        }
      }
    },
    "endpoints": {
      "type": "object",
      "additionalProperties": false,
      "required": ["count", "check_fencing"],
      "properties": {
        "count": {
          "description": "Endpoints at the start.",
          "type": "integer", "minimum": 1, "maximum": 100000
        },
        "check_fencing": {
          "description": "Whether every endpoint refuses an order that carries an old fencing number.",
          "type": "boolean"
        }
      }
    },
    "callers": {
      "description": "The workspaces that may call the service.",
      "type": "array",
      "minItems": 1,
      "maxItems": 100000,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["workspace", "key_sha256", "size"],
        "properties": {
          "workspace": { "type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$" },
          "key_sha256": {
            "description": "SHA-256 of the callers' key, 64 lower-case hexadecimal digits. The key itself is not stored.",
            "type": "string", "pattern": "^[0-9a-f]{64}$"
          },
          "size": { "type": "string", "enum": ["small", "large"] },
          "tokens_per_second": {
            "description": "Limit over all entry hosts; absent for none.",
            "type": "number", "minimum": 0, "maximum": 1000000000000
          },
          "max_in_flight": {
            "description": "Limit of requests in progress over all entry hosts; absent for none.",
            "type": "integer", "minimum": 0, "maximum": 4294967295
          }
        }
      }
    },
    "requests": {
      "type": "object",
      "additionalProperties": false,
      "required": ["deadline_ms", "peak_requests_per_second"],
      "properties": {
        "prompt_tokens": {
          "description": "Tokens of a long, still usual prompt.",
          "type": "integer", "minimum": 0, "maximum": 10000000
        },
        "answer_tokens": {
          "description": "Tokens of a usual answer.",
          "type": "integer", "minimum": 0, "maximum": 1000000
        },
        "peak_requests_per_second": { "type": "number", "minimum": 0, "maximum": 1000000 },
        "deadline_ms": {
          "description": "When an answer is of no use any more.",
          "type": "integer", "minimum": 1, "maximum": 86400000
        },
        "first_token_ms": { "type": "integer", "minimum": 1, "maximum": 86400000 },
        "token_interval_ms": { "type": "integer", "minimum": 1, "maximum": 86400000 },
        "max_body_bytes": { "type": "integer", "minimum": 1024, "maximum": 1073741824 }
      }
    },
    "operations": {
      "description": "Only for a plain service. Calls that no entry covers are taken as non-idempotent.",
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["method", "path", "may_repeat"],
        "properties": {
          "method": { "type": "string", "enum": ["*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] },
          "path": { "description": "Beginning of the path.", "type": "string", "pattern": "^/" },
          "may_repeat": { "description": "Whether running it twice is as good as once.", "type": "boolean" },
          "needs_key": { "description": "Whether a call without Idempotency-Key is refused.", "type": "boolean" }
        }
      }
    },
    "key_lifetime_s": {
      "description": "How long callers may send a call again under its key.",
      "type": "integer", "minimum": 1, "maximum": 2592000
    }
  }
}
)json";

} // namespace

std::string questionnaire_schema()
{
    return schema_text;
}

} // namespace auburnlb
