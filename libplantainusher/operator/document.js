// What the console knows of a document: its fields, JSON pointers, the
// difference of two documents and the merge of two changes.  No page here.
"use strict";

const PuDocument = (() => {
  // A field of a row: its place below the row, its label and how it is edited.
  // `needed`: it has no default; `absent`: what its absence means, if no default.
  // kinds: text, number, list, choice (of values), models (a name of one).
  const field = (path, label, kind, more) => ({ path, label, kind, ...more });
  const WORDS = [{ value: true, text: "yes" }, { value: false, text: "no" }];
  const COPIES = [
    field(["min_copies"], "Copies at least", "number"),
    field(["max_copies"], "Copies at most", "number"),
  ];
  const SECTIONS = [
    {
      key: "services", title: "Services", one: "service", rows: true,
      fresh: () => ({ kind: "model", models: [] }),
      fields: [
        field(["kind"], "Kind", "choice", {
          values: [{ value: "model", text: "model" }, { value: "plain", text: "plain" }],
        }),
        field(["importance"], "Importance (1 to 10)", "number"),
        field(["targets", "first_token_ms"], "First token within (ms)", "number", { only: "model" }),
        field(["targets", "per_token_ms"], "Between tokens (ms)", "number", { only: "model" }),
        field(["targets", "answer_ms"], "Answer within (ms)", "number", { only: "plain" }),
        field(["timeout_ms"], "Timeout (ms)", "number"),
        field(["max_concurrency"], "Running at most", "number"),
        field(["max_queue"], "Waiting at most", "number"),
        field(["claim_window_s"], "Key kept for (s)", "number"),
        field(["models"], "Models and adapters, one a line", "list", { only: "model", wide: true }),
        field(["not_repeatable"], "Not repeatable: METHOD /path, one a line", "list",
          { only: "plain", wide: true }),
      ],
    },
    {
      key: "models", title: "Models", one: "model", rows: true,
      fresh: () => ({ version: "1", memory_mb: 1, kv_cache_mb: 0 }),
      fields: [
        field(["version"], "Version", "text", { needed: true }),
        field(["previous_version"], "Version to go back to", "text", { absent: "none" }),
        field(["memory_mb"], "Memory (MB)", "number", { needed: true }),
        field(["kv_cache_mb"], "KV cache (MB)", "number", { needed: true }),
        field(["accelerators"], "Accelerators", "number"),
        ...COPIES,
      ],
    },
    {
      key: "adapters", title: "Adapters", one: "adapter", rows: true,
      fresh: () => ({ base: "", version: "1", memory_mb: 1 }),
      fields: [
        field(["base"], "Base model", "models"),
        field(["version"], "Version", "text", { needed: true }),
        field(["previous_version"], "Version to go back to", "text", { absent: "none" }),
        field(["memory_mb"], "Memory (MB)", "number", { needed: true }),
        ...COPIES,
      ],
    },
    {
      key: "placement", title: "Placement", rows: false,
      fields: [
        field(["moves_weight"], "Weight of moves (0 to 1)", "number"),
        field(["store_loads_per_s"], "Loads started a second", "number"),
        field(["store_full_speed"], "Loads at full speed", "number"),
        field(["min_stay_s"], "Stay at least (s)", "number"),
        field(["payback_s"], "Pay back within (s)", "number"),
        field(["zone_spread"], "Spread over zones", "choice", { values: WORDS }),
        field(["restore_by_gain"], "Restore by gain", "choice", { values: WORDS }),
      ],
    },
    {
      key: "version_change", title: "Version change", rows: false,
      fields: [
        field(["watch_s"], "Watch the new version for (s)", "number"),
        field(["max_failures"], "Failures until roll-back", "number"),
      ],
    },
  ];

  const isObject = (v) => v !== null && typeof v === "object" && !Array.isArray(v);
  const clone = (v) => (v === undefined ? undefined : JSON.parse(JSON.stringify(v)));

  function equal(a, b) {
    if (Array.isArray(a) && Array.isArray(b))
      return a.length === b.length && a.every((v, i) => equal(v, b[i]));
    if (isObject(a) && isObject(b)) {
      const keys = Object.keys(a);
      return keys.length === Object.keys(b).length
        && keys.every((k) => Object.hasOwn(b, k) && equal(a[k], b[k]));
    }
    return a === b;
  }

  // --- places ---

  const pointer = (parts) =>
    parts.map((p) => "/" + String(p).replace(/~/g, "~0").replace(/\//g, "~1")).join("");

  function get(root, parts) {
    let v = root;
    for (const p of parts) {
      if (v === null || typeof v !== "object" || !Object.hasOwn(v, p))
        return undefined;
      v = v[p];
    }
    return v;
  }

  // Object keys are defined, not assigned, so that "__proto__" is a key too.
  function put(o, key, value) {
    Object.defineProperty(o, key, { value, writable: true, enumerable: true, configurable: true });
  }

  // Sets the value at a place, making the objects above it; undefined removes
  // it.
  function set(root, parts, value) {
    const last = parts[parts.length - 1];
    let o = root;
    for (const p of parts.slice(0, -1)) {
      if (!Object.hasOwn(o, p) || !isObject(o[p])) {
        if (value === undefined)
          return;
        put(o, p, {});
      }
      o = o[p];
    }
    if (value === undefined)
      delete o[last];
    else
      put(o, last, value);
  }

  // Gives a key another name and keeps the order of keys.
  function rename(o, from, to) {
    const all = Object.entries(o);
    for (const [k] of all)
      delete o[k];
    for (const [k, v] of all)
      put(o, k === from ? to : k, v);
  }

  // Renames a model or adapter where others name it; the number of places.
  function renameReferences(doc, from, to) {
    let n = 0;
    for (const s of Object.values(doc.services ?? {})) {
      if (!Array.isArray(s?.models))
        continue;
      for (let i = 0; i < s.models.length; i++) {
        if (s.models[i] === from) {
          s.models[i] = to;
          n++;
        }
      }
    }
    for (const a of Object.values(doc.adapters ?? {})) {
      if (isObject(a) && a.base === from) {
        a.base = to;
        n++;
      }
    }
    return n;
  }

  // --- difference and merge ---

  // The changes from one document to another: {parts, old, new}, where
  // undefined is "not there".  Objects are followed, lists are one value.
  function diff(older, newer, parts = []) {
    if (!isObject(older) || !isObject(newer))
      return equal(older, newer) ? [] : [{ parts, old: older, new: newer }];
    const keys = new Set([...Object.keys(older), ...Object.keys(newer)]);
    return [...keys].flatMap((k) =>
      diff(get(older, [k]), get(newer, [k]), [...parts, k]));
  }

  const isPrefix = (a, b) => a.length <= b.length && a.every((p, i) => p === b[i]);

  // Where two changes from one base touch the same value and disagree: the
  // places, each the shorter of the two.
  function collisions(mine, theirs) {
    const found = new Map();
    for (const m of mine) {
      for (const t of theirs) {
        const shorter = m.parts.length <= t.parts.length ? m.parts : t.parts;
        const longer = shorter === m.parts ? t.parts : m.parts;
        const same = m.parts.length === t.parts.length && equal(m.new, t.new);
        if (isPrefix(shorter, longer) && !same)
          found.set(pointer(shorter), shorter);
      }
    }
    const all = [...found.values()];
    return all.filter((p) => !all.some((q) => q !== p && isPrefix(q, p)));
  }

  // Their document with my changes in it.  takeMine (parts) decides where
  // both changed a value.
  function merge(base, mineDoc, theirDoc, takeMine) {
    const mine = diff(base, mineDoc);
    const hit = collisions(mine, diff(base, theirDoc));
    const merged = clone(theirDoc);
    for (const m of mine) {
      if (!hit.some((p) => isPrefix(p, m.parts)))
        set(merged, m.parts, clone(m.new));
    }
    for (const p of hit) {
      if (takeMine(p))
        set(merged, p, clone(get(mineDoc, p)));
    }
    return merged;
  }

  // Parts of a row that no field shows.
  function unknownOf(row, fields) {
    const rest = clone(row);
    for (const f of fields) {
      set(rest, f.path, undefined);
      if (f.path.length > 1 && isObject(rest[f.path[0]]) && !Object.keys(rest[f.path[0]]).length)
        delete rest[f.path[0]];
    }
    return rest;
  }

  return {
    SECTIONS, clone, collisions, diff, equal, get, isObject, merge, pointer, put,
    rename, renameReferences, set, unknownOf,
  };
})();
