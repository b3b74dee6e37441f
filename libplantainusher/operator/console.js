// The console: forms whose output is the one document, checked by the daemon
// as it is edited, reviewed as a difference and submitted with a change id.
"use strict";

(() => {
  const D = PuDocument;
  const CHECK_DELAY_MS = 400;
  const RETRY_DELAY_MS = 300;
  const RETRIES = 10;
  const TEAMS_INTERVAL_MS = 3000;
  const KEY_ITEM = "plantainusher.key";
  const PENDING_ITEM = "plantainusher.pending";
  const TEXT_TAB = "text";

  const $ = (id) => document.getElementById(id);
  const state = {
    key: sessionStorage.getItem(KEY_ITEM) ?? "",
    base: {},       // the document in force when it was loaded
    version: 0,     // of it
    doc: {},        // as edited
    tab: "services",
    filter: "",
    findings: [],
    checks: 0,      // to know the newest of the checks under way
    timer: 0,
    changeId: "",   // of the edited document, kept until it is edited again
    conflict: null, // {theirs, version, hit}
  };

  // --- small helpers ---

  function make(tag, props = {}, ...children) {
    const e = document.createElement(tag);
    for (const [k, v] of Object.entries(props)) {
      if (k in e && !k.startsWith("aria"))
        e[k] = v;
      else
        e.setAttribute(k, v);
    }
    e.append(...children);
    return e;
  }

  function say(text, kind = "") {
    $("message").textContent = text;
    $("message").className = kind;
  }

  const count = (n, one) => `${n} ${one}${n === 1 ? "" : "s"}`;
  const show = (v) => (v === undefined ? "" : JSON.stringify(v));

  // randomUUID is there on secure origins only; this is its version 4.
  function newChangeId() {
    const b = crypto.getRandomValues(new Uint8Array(16));
    b[6] = (b[6] & 0x0f) | 0x40;
    b[8] = (b[8] & 0x3f) | 0x80;
    const hex = [...b].map((n) => n.toString(16).padStart(2, "0")).join("");
    return [[0, 8], [8, 12], [12, 16], [16, 20], [20, 32]]
      .map(([from, to]) => hex.slice(from, to)).join("-");
  }

  // --- the daemon ---

  // {status, body}; status 0 when no whole answer came.
  async function call(method, path, text) {
    try {
      const r = await fetch(path, {
        method, body: text, cache: "no-store",
        headers: { Authorization: "Bearer " + state.key, "Content-Type": "application/json" },
      });
      return { status: r.status, body: await r.json() };
    } catch {
      return { status: 0, body: {} };
    }
  }

  function reasonOf(answer) {
    if (answer.status === 0)
      return "The daemon does not answer.";
    return answer.body.message ?? `The daemon answered ${answer.status}.`;
  }

  async function loadInForce() {
    const answer = await call("GET", "/operator/document");
    if (answer.status === 404)
      return { version: 0, doc: {}, by: "" };
    if (answer.status !== 200) {
      say(reasonOf(answer), "bad");
      return null;
    }
    const b = answer.body;
    return { version: b.version, doc: b.document, by: ` by ${b.author}, ${b.time}` };
  }

  // --- loading and the state of the page ---

  function takeInForce(loaded) {
    state.base = loaded.doc;
    state.doc = D.clone(loaded.doc);
    state.version = loaded.version;
    state.changeId = "";
    state.findings = [];
    $("inforce").textContent = loaded.version === 0
      ? "No document is in force yet."
      : `Version ${loaded.version} in force${loaded.by}`;
    $("editor").hidden = false;
    render();
  }

  async function reload() {
    const loaded = await loadInForce();
    if (loaded === null)
      return;
    takeInForce(loaded);
    if (loaded.version === 0) {
      say("There is no document yet: add services and models, then submit the first.");
      return;
    }
    say("The document in force is loaded.", "good");
    check();
  }

  async function connect(event) {
    event.preventDefault();
    state.key = $("key").value;
    sessionStorage.setItem(KEY_ITEM, state.key);
    await reload();
    showPending();
    showTeams();
  }

  function edited() {
    state.changeId = "";
    say("");
    showChanges();
    clearTimeout(state.timer);
    state.timer = setTimeout(check, CHECK_DELAY_MS);
  }

  function showChanges() {
    const n = D.diff(state.base, state.doc).length;
    $("changes").textContent = n === 0 ? "No changes" : count(n, "change") + " not submitted";
    $("submit").disabled = n === 0 || readPending() !== null;
  }

  // --- teams ---

  const number = (v) => (typeof v === "number" ? String(Math.round(v * 10) / 10) : "-");

  function teamRow(t) {
    const texts = [t.unit, t.rate_per_s > 0 ? number(t.rate_per_s) : "no limit", number(t.granted_per_s),
      number(t.units_per_s), number(t.refused_per_s), number(t.refused_pct),
      (t.held_back ? "yes" : "no") + (t.alone ? ", without the leader" : "")];
    return make("tr", {}, make("th", { scope: "row" }, t.name),
      ...texts.map((text) => make("td", {}, text)));
  }

  // The last table stays while the daemon does not answer.
  async function showTeams() {
    if (state.key === "" || document.hidden)
      return;
    const answer = await call("GET", "/operator/status");
    if (answer.status !== 200)
      return;
    const teams = answer.body.teams ?? [];
    $("teams").hidden = teams.length === 0;
    $("teams-rows").replaceChildren(...teams.map(teamRow));
  }

  // Each begins when the one before has ended: a slow daemon is asked once.
  async function watchTeams() {
    await showTeams();
    setTimeout(watchTeams, TEAMS_INTERVAL_MS);
  }

  // --- checks ---

  // Whether the daemon finds nothing; null when it could not say.
  async function check() {
    const mine = ++state.checks;
    const answer = await call("POST", "/operator/check", JSON.stringify(state.doc));
    if (mine !== state.checks)
      return null;
    if (answer.status !== 200 && !answer.body.findings) {
      say(reasonOf(answer), "bad");
      return null;
    }
    state.findings = answer.body.findings ?? [];
    showFindings(answer.body.warnings ?? []);
    return state.findings.length === 0;
  }

  function showFindings(warnings) {
    const list = $("findings-list");
    list.replaceChildren();
    for (const f of state.findings)
      list.append(make("li", {}, findingLink(f)));
    for (const w of warnings)
      list.append(make("li", {}, "Warning: " + w.path + " " + w.message));
    $("findings").hidden = state.findings.length + warnings.length === 0;
    $("findings-title").textContent = state.findings.length > 0
      ? count(state.findings.length, "finding")
      : count(warnings.length, "warning");
    markFindings();
  }

  function findingLink(f) {
    const link = make("button", { type: "button" }, (f.path || "document") + ": " + f.message);
    link.addEventListener("click", () => {
      const key = f.path.split("/")[1];
      if (D.SECTIONS.some((s) => s.key === key)) {
        state.tab = key;
        state.filter = "";
        render();
      }
      (inputFor(f.path) ?? $("forms")).focus();
    });
    return link;
  }

  // The input whose place is PATH or the nearest above it.
  function inputFor(path) {
    for (let p = path; p !== ""; p = p.slice(0, p.lastIndexOf("/"))) {
      const input = document.querySelector(`[data-path="${CSS.escape(p)}"]`);
      if (input !== null)
        return input;
    }
    return null;
  }

  function markFindings() {
    for (const e of document.querySelectorAll("#forms .fault"))
      e.remove();
    for (const e of document.querySelectorAll("#forms [aria-invalid]")) {
      e.removeAttribute("aria-invalid");
      e.removeAttribute("aria-describedby");
    }
    for (const e of document.querySelectorAll("#forms fieldset.bad"))
      e.classList.remove("bad");
    state.findings.forEach(markFinding);
  }

  function markFinding(f, i) {
    const input = inputFor(f.path);
    if (input === null)
      return;
    const own = input.dataset.path === f.path;
    const rest = f.path.slice(input.dataset.path.length + 1);
    const place = own ? "" : (/^\d+$/.test(rest) ? `entry ${Number(rest) + 1}` : rest) + ": ";
    const fault = make("p", { className: "fault", id: "fault-" + i }, place + f.message);
    const others = input.getAttribute("aria-describedby");
    input.setAttribute("aria-invalid", "true");
    input.setAttribute("aria-describedby", (others ? others + " " : "") + fault.id);
    input.closest("fieldset").classList.add("bad");
    input.closest(".field").append(fault);
  }

  // --- forms ---

  // What has the focus keeps it, by its id; RENAMED gives an id's new one.
  function render(renamed = (id) => id) {
    const focused = document.activeElement.id;
    renderTabs();
    const section = D.SECTIONS.find((s) => s.key === state.tab);
    const forms = $("forms");
    forms.tabIndex = -1;
    if (state.tab === TEXT_TAB)
      forms.replaceChildren(...textForm());
    else if (section.rows)
      forms.replaceChildren(rowTools(section), ...rowForms(section));
    else
      forms.replaceChildren(singleForm(section));
    if (focused !== "" && document.activeElement.id !== focused)
      $(renamed(focused))?.focus();
    showChanges();
    markFindings();
  }

  function renderTabs() {
    const tabs = D.SECTIONS.map((s) => {
      const n = s.rows ? ` (${Object.keys(state.doc[s.key] ?? {}).length})` : "";
      return { key: s.key, title: s.title + n };
    });
    tabs.push({ key: TEXT_TAB, title: "Text" });
    $("tabs").replaceChildren(...tabs.map((t) => {
      const b = make("button", { type: "button", id: "tab-" + t.key }, t.title);
      b.setAttribute("aria-current", String(t.key === state.tab));
      b.addEventListener("click", () => {
        state.tab = t.key;
        state.filter = "";
        render();
      });
      return b;
    }));
  }

  function rowTools(section) {
    const filter = make("input", { id: "filter", type: "search", value: state.filter });
    filter.addEventListener("input", () => {
      state.filter = filter.value;
      const forms = $("forms");
      forms.replaceChildren(forms.firstChild, ...rowForms(section));
      markFindings();
    });
    const add = make("button", { type: "button", id: "add" }, "Add a " + section.one);
    add.addEventListener("click", () => addRow(section));
    return make("div", { className: "tools" },
      make("div", { className: "field" }, make("label", { htmlFor: "filter" }, "Show names with"), filter),
      add);
  }

  function addRow(section) {
    if (!D.isObject(state.doc[section.key]))
      D.put(state.doc, section.key, {});
    const rows = state.doc[section.key];
    let n = 1;
    while (Object.hasOwn(rows, `new-${section.one}-${n}`))
      n++;
    const name = `new-${section.one}-${n}`;
    D.put(rows, name, section.fresh());
    state.filter = "";
    edited();
    render();
    const input = inputFor(D.pointer([section.key, name]));
    input.focus();
    input.select();
  }

  function rowForms(section) {
    const rows = state.doc[section.key];
    if (!D.isObject(rows))
      return [];
    return Object.keys(rows)
      .filter((name) => name.includes(state.filter))
      .map((name) => rowForm(section, name));
  }

  function rowForm(section, name) {
    const row = state.doc[section.key][name];
    const set = make("fieldset", {}, make("legend", {}, name));
    const fields = make("div", { className: "fields" }, nameField(section, name));
    for (const f of section.fields) {
      if (f.only === undefined || f.only === (row?.kind ?? "model")
          || D.get(row, f.path) !== undefined)
        fields.append(inputField(f, [section.key, name, ...f.path]));
    }
    const remove = make("button", { type: "button" }, "Remove");
    remove.setAttribute("aria-label", `Remove ${section.one} ${name}`);
    remove.addEventListener("click", () => {
      delete state.doc[section.key][name];
      edited();
      render();
      $("add").focus();
    });
    fields.append(make("div", { className: "rowend" }, remove));
    set.append(fields, ...othersNote(row, section));
    return set;
  }

  function singleForm(section) {
    const fields = make("div", { className: "fields" });
    for (const f of section.fields)
      fields.append(inputField(f, [section.key, ...f.path]));
    return make("fieldset", {}, make("legend", {}, section.title), fields,
      ...othersNote(state.doc[section.key], section));
  }

  // What the forms do not show is kept as it is, and said.
  function othersNote(row, section) {
    if (!D.isObject(row))
      return [];
    const others = D.unknownOf(row, section.fields);
    if (Object.keys(others).length === 0)
      return [];
    return [make("p", { className: "others" }, "Kept as it is: " + show(others))];
  }

  function labelled(label, input, wide) {
    const l = make("label", { htmlFor: input.id }, label);
    return make("div", { className: wide ? "field wide" : "field" }, l, input);
  }

  function nameField(section, name) {
    const path = D.pointer([section.key, name]);
    const input = make("input", { id: "f" + path, value: name, spellcheck: false });
    input.dataset.path = path;
    input.addEventListener("change", () => renameRow(section, name, input));
    return labelled("Name", input);
  }

  function renameRow(section, from, input) {
    const to = input.value;
    const rows = state.doc[section.key];
    if (to === from)
      return;
    if (to === "" || Object.hasOwn(rows, to)) {
      say(to === "" ? "A name is needed." : `There is a ${section.one} ${to} already.`, "bad");
      input.value = from;
      return;
    }
    D.rename(rows, from, to);
    const n = section.key === "services" ? 0 : D.renameReferences(state.doc, from, to);
    edited();
    say(`${from} is now ${to}` + (n > 0 ? `, also where it is named (${n}).` : "."));
    // Once the focus is where it goes to after this input.
    const was = "f" + D.pointer([section.key, from]);
    const is = "f" + D.pointer([section.key, to]);
    setTimeout(() => render((id) =>
      (id === was || id.startsWith(was + "/") ? is + id.slice(was.length) : id)), 0);
  }

  // One input for the value at PARTS of the document.
  function inputField(f, parts) {
    const value = D.get(state.doc, parts);
    const input = EDITORS[f.kind].make(f, value);
    input.id = "f" + D.pointer(parts);
    input.dataset.path = D.pointer(parts);
    input.addEventListener("change", () => {
      D.set(state.doc, parts, EDITORS[f.kind].read(input, f));
      edited();
      if (f.path[0] === "kind")
        render();
    });
    return labelled(f.label, input, f.wide);
  }

  const asText = (v) => (v === undefined ? "" : typeof v === "string" ? v : show(v));

  // A number as it is meant; other text stays text, for the daemon to find.
  function readNumber(text) {
    const t = text.trim();
    if (t === "")
      return undefined;
    return /^-?\d+(\.\d+)?([eE][-+]?\d+)?$/.test(t) ? Number(t) : t;
  }

  function readList(text) {
    const lines = text.split("\n").map((l) => l.trim()).filter((l) => l !== "");
    return lines.length > 0 ? lines : undefined;
  }

  function makeChoice(f, value) {
    const input = make("select", {}, make("option", { value: "" }, "default"));
    f.values.forEach((v, i) => input.append(make("option", { value: String(i) }, v.text)));
    const at = f.values.findIndex((v) => v.value === value);
    if (at >= 0)
      input.value = String(at);
    else if (value !== undefined)
      input.append(make("option", { value: "other", selected: true, disabled: true }, asText(value)));
    return input;
  }

  function makeModels(f, value) {
    const input = make("select", {}, make("option", { value: "" }, "none"));
    const names = Object.keys(state.doc.models ?? {});
    if (typeof value === "string" && value !== "" && !names.includes(value))
      names.push(value);
    for (const n of names)
      input.append(make("option", { value: n, selected: n === value }, n));
    return input;
  }

  const makeLine = (f, value) =>
    make("input", { value: asText(value), placeholder: f.needed ? "needed" : f.absent ?? "default",
      spellcheck: false });

  const EDITORS = {
    text: {
      make: makeLine,
      read: (input) => (input.value === "" ? undefined : input.value),
    },
    number: {
      make: (f, value) => {
        const input = makeLine(f, value);
        input.inputMode = "decimal";
        return input;
      },
      read: (input) => readNumber(input.value),
    },
    list: {
      make: (f, value) => make("textarea", {
        value: Array.isArray(value) ? value.join("\n") : asText(value), spellcheck: false,
      }),
      read: (input) => readList(input.value),
    },
    choice: {
      make: makeChoice,
      read: (input, f) => f.values[input.value]?.value,
    },
    models: {
      make: makeModels,
      read: (input) => (input.value === "" ? undefined : input.value),
    },
  };

  // --- the text of the document ---

  function textForm() {
    const text = make("textarea", { id: "text", spellcheck: false });
    text.value = JSON.stringify(state.doc, null, 2);
    const take = make("button", { type: "button", id: "take-text" }, "Take this text into the forms");
    take.addEventListener("click", () => takeText(text.value));
    return [make("div", { className: "tools" }, make("label", { htmlFor: "text" }, "The document as text"), take), text];
  }

  // The daemon reads the text first: it finds a doubled key, which is lost
  // when the page reads it.
  async function takeText(text) {
    const answer = await call("POST", "/operator/check", text);
    const syntax = (answer.body.findings ?? []).filter((f) => f.path === "");
    if (answer.status !== 200 && !answer.body.findings) {
      say(reasonOf(answer), "bad");
      return;
    }
    if (syntax.length > 0) {
      const f = syntax[0];
      say((f.line ? `Line ${f.line}, column ${f.column}: ` : "") + f.message, "bad");
      return;
    }
    state.doc = JSON.parse(text);
    edited();
    render();
    say("The text is in the forms.", "good");
  }

  // --- review and submit ---

  async function review() {
    clearTimeout(state.timer);
    if (!await check()) {
      say(state.findings.length > 0 ? "Mend the findings first." : $("message").textContent, "bad");
      return;
    }
    const answer = await call("POST", "/operator/diff", JSON.stringify(state.doc));
    if (answer.status !== 200) {
      say(reasonOf(answer), "bad");
      return;
    }
    if (answer.body.base_version > state.version) {
      await openConflict(answer.body.base_version);
      return;
    }
    $("review-base").textContent = state.version === 0
      ? "It is the first document."
      : `It starts from version ${state.version}.`;
    $("review-rows").replaceChildren(...answer.body.differs.map((d) =>
      make("tr", {}, make("th", { scope: "row" }, d.path),
        make("td", { className: "code" }, show(d.old)),
        make("td", { className: "code" }, show(d.new)))));
    $("review").showModal();
  }

  function readPending() {
    return JSON.parse(sessionStorage.getItem(PENDING_ITEM) ?? "null");
  }

  // The request is kept until it is answered, so that sending it again is the
  // same change; its base is kept for the answer "another was first".
  async function submit() {
    $("review").close();
    state.changeId ||= newChangeId();
    sessionStorage.setItem(PENDING_ITEM, JSON.stringify({
      request: { base_version: state.version, change_id: state.changeId, document: state.doc },
      base: state.base,
    }));
    await sendPending();
  }

  const isUnknown = (status) => status === 0 || status >= 500 && status !== 503;

  async function sendPending() {
    const pending = readPending();
    $("pending-resend").disabled = true;
    showChanges();
    const answer = await call("POST", "/operator/submit", JSON.stringify(pending.request));
    $("pending-resend").disabled = false;
    if (isUnknown(answer.status)) {
      say("It is not known whether the change was accepted.", "bad");
      showPending();
      return;
    }
    sessionStorage.removeItem(PENDING_ITEM);
    showPending();
    if (answer.status === 200)
      await accepted(answer.body, pending.request.document);
    else
      await refused(answer, pending);
  }

  async function refused(answer, pending) {
    if (D.equal(state.doc, state.base))
      adopt(pending);
    showChanges();
    if (answer.status === 409) {
      await openConflict(answer.body.current_version);
      return;
    }
    if (answer.body.findings) {
      state.findings = answer.body.findings;
      showFindings([]);
    }
    say(reasonOf(answer) + (answer.status === 503 ? " Nothing was changed; submit again." : ""), "bad");
  }

  // A change sent before the page was loaded anew goes back into the forms.
  function adopt(pending) {
    state.base = pending.base;
    state.version = pending.request.base_version;
    state.doc = D.clone(pending.request.document);
    state.changeId = pending.request.change_id;
    render();
  }

  // What was edited since the change was sent stays in the forms.
  async function accepted(body, sent) {
    const loaded = await loadSince(body.version);
    if (loaded === null)
      return;
    const later = D.equal(state.doc, state.base) ? [] : D.diff(sent, state.doc);
    const merged = D.merge(sent, state.doc, loaded.doc, () => true);
    takeInForce(loaded);
    if (later.length > 0) {
      state.doc = merged;
      render();
      edited();
    }
    say(`Accepted${body.seen ? " before" : ""} as version ${body.version}.`, "good");
  }

  // This daemon may learn of a version a little later than the voters.
  async function loadSince(version) {
    for (let i = 0; i < RETRIES; i++) {
      const loaded = await loadInForce();
      if (loaded === null || loaded.version >= version)
        return loaded;
      await new Promise((done) => setTimeout(done, RETRY_DELAY_MS));
    }
    say(`Version ${version} is not in force at this daemon yet.`, "bad");
    return null;
  }

  function showPending() {
    const pending = readPending();
    $("pending").hidden = pending === null;
    if (pending !== null)
      $("pending-text").textContent = `Change ${pending.request.change_id}, from version `
        + `${pending.request.base_version}: no answer came. Sent again, it is accepted once at most.`;
    showChanges();
  }

  async function dropPending() {
    sessionStorage.removeItem(PENDING_ITEM);
    showPending();
    await reload();
  }

  // --- conflicts ---

  async function openConflict(version) {
    const loaded = await loadSince(version);
    if (loaded === null)
      return;
    const mine = D.diff(state.base, state.doc);
    const theirs = D.diff(state.base, loaded.doc);
    const hit = D.collisions(mine, theirs);
    state.conflict = { loaded, hit };
    $("conflict-text").textContent = `Version ${loaded.version}${loaded.by} came while you edited `
      + `version ${state.version}. ${count(theirs.length, "value")} differ${theirs.length === 1 ? "s" : ""} there; `
      + `${hit.length === 0 ? "none of them is" : count(hit.length, "place") + (hit.length === 1 ? " is" : " are")} `
      + "among those that you changed. Your other changes are kept.";
    $("conflict-rows").replaceChildren(
      ...hit.map((p, i) => collisionRow(p, i, loaded.doc)),
      ...theirs.filter((t) => !hit.some((p) => D.pointer(t.parts).startsWith(D.pointer(p))))
        .map(theirRow));
    $("conflict").showModal();
  }

  function collisionRow(parts, i, theirDoc) {
    const path = D.pointer(parts);
    const take = make("select", { id: "take-" + i },
      make("option", { value: "theirs" }, "theirs"), make("option", { value: "mine" }, "mine"));
    take.setAttribute("aria-label", "Which value to take of " + path);
    return make("tr", {}, make("th", { scope: "row" }, path),
      make("td", { className: "code" }, show(D.get(theirDoc, parts))),
      make("td", { className: "code" }, show(D.get(state.doc, parts))),
      make("td", {}, take));
  }

  function theirRow(t) {
    return make("tr", {}, make("th", { scope: "row" }, D.pointer(t.parts)),
      make("td", { className: "code" }, show(t.new)),
      make("td", {}, "not changed"), make("td", {}, "theirs"));
  }

  function takeTheirs() {
    $("conflict").close();
    takeInForce(state.conflict.loaded);
    say("The document in force is loaded; your changes are dropped.");
    check();
  }

  function takeMerged() {
    const { loaded, hit } = state.conflict;
    const choice = (p) => $("take-" + hit.indexOf(p)).value === "mine";
    const places = hit.map((p) => D.pointer(p));
    const merged = D.merge(state.base, state.doc, loaded.doc,
      (p) => choice(hit[places.indexOf(D.pointer(p))]));
    $("conflict").close();
    takeInForce(loaded);
    state.doc = merged;
    render();
    edited();
    say("Both changes are in the forms. Review and submit again.");
  }

  // --- start ---

  function start() {
    $("connect").addEventListener("submit", connect);
    $("reload").addEventListener("click", reload);
    $("submit").addEventListener("click", review);
    $("review-cancel").addEventListener("click", () => $("review").close());
    $("review-submit").addEventListener("click", submit);
    $("conflict-theirs").addEventListener("click", takeTheirs);
    $("conflict-merge").addEventListener("click", takeMerged);
    $("pending-resend").addEventListener("click", sendPending);
    $("pending-drop").addEventListener("click", dropPending);
    window.addEventListener("beforeunload", (event) => {
      if (D.diff(state.base, state.doc).length > 0)
        event.preventDefault();
    });
    watchTeams();
    if (state.key === "")
      return;
    $("key").value = state.key;
    reload().then(showPending);
  }

  start();
})();
