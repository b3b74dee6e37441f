// Settings of one instance of the platform; docs/DOCUMENT.md lists every field.
// The keys guard the operators' and the peers' ports, which callers can't
// reach: put your own in their place.
{
  "name": "{{node}}",
  "region": "{{region}}",
  "zone": "{{zone}}",
  "roles": ["entry"{{#data_dir}}, "control"{{/data_dir}}],
  "addresses": {
    "callers": "{{listen.front}}",
    "operators": "{{ip}}:{{port_range.1}}",
    "peers": "{{ip}}:{{port_range.0}}",
    "metrics": "{{ip}}:9464",
  },
{{#data_dir}}
  "data_folder": "{{data_dir}}",
{{/data_dir}}
  "keys": {
    "operators": [{"name": "platform", "key": "change-me-operators-key"}],
    "peers": "change-me-peers-key-of-all",
  },
  "seeds": [{{#seeds}}"{{.}}"{{,}}{{/seeds}}],
  "found": {{#bootstrap}}true{{/bootstrap}}{{^bootstrap}}false{{/bootstrap}},
  "log_level": "info",
  "platform": {
    "ready": "{{listen.ready}}",
    "control": "{{listen.control}}",
    "directory": "{{listen.directory}}",
{{#limits.memory_mb}}    "memory_mb": {{.}},{{/limits.memory_mb}}
{{#limits.max_fds}}    "descriptors": {{.}},{{/limits.max_fds}}
{{#heartbeat_ms}}    "report_ms": {{.}},{{/heartbeat_ms}}
{{#bounds.grace_s}}    "grace_s": {{.}},{{/bounds.grace_s}}
{{#bounds.lease_ms}}    "lease_ms": {{.}},{{/bounds.lease_ms}}
{{#bounds.ttl_max_s}}    "ttl_s": {{.}},{{/bounds.ttl_max_s}}
{{^bounds.quota_window_s}}    "callers_share": 0.33,
{{/bounds.quota_window_s}}    "restore_by_gain": true,
    "load_exchange_ms": 50,
    "fenced": {{#bounds.fence_checked}}true{{/bounds.fence_checked}}{{^bounds.fence_checked}}false{{/bounds.fence_checked}},
{{#bounds.retry_budget_ratio}}    "retry_ratio": {{.}},{{/bounds.retry_budget_ratio}}
{{#bounds.budget_slack}}    "retry_slack": {{.}},{{/bounds.budget_slack}}
{{#bounds.ceiling_overage}}    "store_overage": {{.}},{{/bounds.ceiling_overage}}
{{#bounds.quota_window_s}}    "allowance_window_s": {{.}},{{/bounds.quota_window_s}}
{{#bounds.quota_overage}}    "allowance_overage": {{.}},{{/bounds.quota_overage}}
{{#bounds.quota_slack}}    "allowance_slack": {{.}},{{/bounds.quota_slack}}
  },
}
