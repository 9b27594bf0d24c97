/// \file
/// \brief The JSON Schema of the merged settings document.
#include "yuccaspan/settings_io.hpp"

namespace yuccaspan {

namespace impl {

// Property names, defaults and ranges are those of settings.hpp; docs/SETTINGS.md lists them.
constexpr std::string_view schemaText = R"schema({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "yuccaspan settings",
  "type": "object",
  "additionalProperties": false,
  "required": ["schema", "zones", "services"],
  "properties": {
    "schema": {
      "description": "Version of this schema", "type": "integer", "minimum": 1, "maximum": 1
    },
    "zones": {
      "description": "Availability zones by name", "type": "object",
      "minProperties": 1, "maxProperties": 64,
      "propertyNames": { "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$", "maxLength": 64 },
      "additionalProperties": { "$ref": "#/definitions/zone" }
    },
    "services": {
      "description": "Services by name", "type": "object",
      "minProperties": 1, "maxProperties": 256,
      "propertyNames": { "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$", "maxLength": 64 },
      "additionalProperties": { "$ref": "#/definitions/service" }
    }
  },
  "definitions": {
    "zone": {
      "type": "object",
      "additionalProperties": false,
      "required": ["region"],
      "properties": {
        "region": {
          "description": "Region of the zone", "type": "string",
          "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$", "maxLength": 64
        },
        "out": {
          "description": "Taken out by operators", "type": "boolean", "default": false
        },
        "stopped": {
          "description": "Nothing in the zone runs any more", "type": "boolean", "default": false
        }
      }
    },
    "service": {
      "type": "object",
      "additionalProperties": false,
      "required": ["pathPrefix", "targets", "rules"],
      "properties": {
        "pathPrefix": {
          "description": "First path segments that select the service", "type": "string",
          "pattern": "^(/[A-Za-z0-9._~-]+)+$", "maxLength": 256
        },
        "whenCutOff": {
          "description": "What happens to the keys of a zone that is cut off", "type": "string",
          "enum": ["move", "hold"], "default": "move"
        },
        "cellsPerZone": {
          "description": "Cells in each zone when the key space is created", "type": "integer",
          "minimum": 1, "maximum": 1024, "default": 1
        },
        "slicesPerTarget": {
          "description": "Slices for each target when the key space is created",
          "type": "integer", "minimum": 1, "maximum": 256, "default": 8
        },
        "maxSlicesPerCell": {
          "description": "Bound on splitting", "type": "integer",
          "minimum": 1, "maximum": 4096, "default": 4096
        },
        "requestLimitBytes": {
          "description": "Longest request body", "type": "integer",
          "minimum": 0, "maximum": 67108864, "default": 1048576
        },
        "answerLimitBytes": {
          "description": "Longest answer body", "type": "integer",
          "minimum": 0, "maximum": 67108864, "default": 4194304
        },
        "queueLimit": {
          "description": "Requests that may wait for one target at one instance",
          "type": "integer", "minimum": 0, "maximum": 65536, "default": 64
        },
        "repeatBudget": {
          "description": "Repeats as a share of first tries", "type": "number",
          "minimum": 0, "maximum": 1, "default": 0.1
        },
        "coldAllowance": {
          "description": "Share of a starting target's slots used at first", "type": "number",
          "minimum": 0, "maximum": 1, "default": 0.1
        },
        "targets": {
          "description": "Targets by name", "type": "object",
          "minProperties": 1, "maxProperties": 20000,
          "propertyNames": { "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$", "maxLength": 64 },
          "additionalProperties": { "$ref": "#/definitions/target" }
        },
        "rules": {
          "description": "Request rules, tried in the order of their names", "type": "object",
          "maxProperties": 1024,
          "propertyNames": { "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$", "maxLength": 64 },
          "additionalProperties": { "$ref": "#/definitions/rule" }
        }
      }
    },
    "target": {
      "type": "object",
      "additionalProperties": false,
      "required": ["zone", "address", "port", "slots"],
      "properties": {
        "zone": {
          "description": "Availability zone", "type": "string", "maxLength": 64
        },
        "address": {
          "description": "IP address, numeric", "type": "string", "maxLength": 64
        },
        "port": {
          "description": "TCP port", "type": "integer", "minimum": 1, "maximum": 65535
        },
        "slots": {
          "description": "Requests it can run at once", "type": "integer",
          "minimum": 1, "maximum": 100000
        },
        "connections": {
          "description": "Connections it accepts, over all instances", "type": "integer",
          "minimum": 1, "maximum": 100000, "default": 100
        },
        "checksGrants": {
          "description": "Refuses requests without a valid grant", "type": "boolean",
          "default": true
        },
        "drain": {
          "description": "Is leaving", "type": "boolean", "default": false
        }
      }
    },
    "rule": {
      "type": "object",
      "additionalProperties": false,
      "required": ["kind", "keySource"],
      "properties": {
        "kind": {
          "description": "Name of the kind of request", "type": "string",
          "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$", "maxLength": 64
        },
        "method": {
          "description": "HTTP method to match; empty matches all", "type": "string",
          "pattern": "^[A-Z]*$", "maxLength": 32, "default": ""
        },
        "path": {
          "description": "Path prefix to match, after the service's prefix", "type": "string",
          "pattern": "^(/[A-Za-z0-9._~-]+)*$", "maxLength": 256, "default": ""
        },
        "repeatable": {
          "description": "Whether it may be sent again after an unknown outcome",
          "type": "boolean", "default": false
        },
        "worth": {
          "description": "Weight of one request", "type": "number",
          "minimum": 0, "maximum": 1000000, "default": 1
        },
        "deadlineMs": {
          "description": "Time allowed unless the caller gives less", "type": "number",
          "exclusiveMinimum": 0, "maximum": 600000, "default": 1000
        },
        "keySource": {
          "description": "Where the key is", "type": "string",
          "enum": ["header", "path-segment", "query"]
        },
        "keyName": {
          "description": "Header or query parameter that holds the key", "type": "string",
          "pattern": "^[A-Za-z0-9_.-]*$", "maxLength": 64, "default": ""
        },
        "keySegment": {
          "description": "Index of the path segment after the service's prefix",
          "type": "integer", "minimum": 0, "maximum": 64, "default": 0
        }
      }
    }
  }
})schema";

} // namespace impl

std::string_view settingsSchema() noexcept
{
    return impl::schemaText;
}

} // namespace yuccaspan
