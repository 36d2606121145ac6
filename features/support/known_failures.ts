/**
 * Tests that are known to fail for a fault which is still open.
 *
 * @module
 */

/** Entry of `KNOWN-RED.txt`. */
export interface KnownFailure {
    /** Feature and scenario, such as `Serving of calls: a key is used once`. */
    readonly test: string;
    readonly command: string;
    readonly seen: string;
    readonly issue: string;
}

/** Fields of an entry, in their order. */
const ENTRY_FIELDS = ["test", "command", "seen", "issue"] as const;

/**
 * Reads the entries: blocks of lines `field: text`, parted by blank lines. Lines that begin with `#` are left out.
 *
 * @param text Text of the file.
 * @throws {Error} When an entry lacks a field.
 */
export function parseKnownFailures(text: string): readonly KnownFailure[] {
    const lines = text.split("\n").filter(line => !line.startsWith("#"));
    const blocks = lines.join("\n").split(/\n{2,}/).map(block => block.trim()).filter(block => block !== "");
    return blocks.map(parseEntry);
}

function parseEntry(block: string): KnownFailure {
    const fields = new Map(
        block.split("\n").map(line => {
            const separatorIndex = line.indexOf(":");
            return [line.slice(0, separatorIndex).trim(), line.slice(separatorIndex + 1).trim()] as const;
        }),
    );
    for (const field of ENTRY_FIELDS) {
        if (!fields.get(field)) {
            throw new Error(`Cannot read KNOWN-RED.txt: the entry "${block.split("\n")[0]}" lacks the field "${field}"`);
        }
    }
    const field = (name: typeof ENTRY_FIELDS[number]) => fields.get(name) as string;
    return { test: field("test"), command: field("command"), seen: field("seen"), issue: field("issue") };
}

/** Outcome of one test. */
export interface TestOutcome {
    /** Feature and scenario, as an entry names them. */
    readonly test: string;
    readonly passed: boolean;
}

/** Verdict of a run. */
export interface RunSummary {
    readonly passed: number;
    readonly failed: number;
    /** Lines that tell what counts against the run, or was passed over. */
    readonly lines: readonly string[];
}

/**
 * Judges a run: listed tests are passed over while they fail, and count as failed when they pass or do not exist.
 *
 * @param outcomes Outcome of each test; the examples of an outline share one name.
 * @param known Entries of `KNOWN-RED.txt`.
 */
export function evaluateRun(outcomes: readonly TestOutcome[], known: readonly KnownFailure[]): RunSummary {
    const listed = new Map(known.map(entry => [entry.test, entry]));
    const unlisted = outcomes.filter(outcome => !listed.has(outcome.test));
    const lines: string[] = [];
    let failed = unlisted.filter(outcome => !outcome.passed).length;
    for (const entry of known) {
        const own = outcomes.filter(outcome => outcome.test === entry.test);
        if (own.length > 0 && own.some(outcome => !outcome.passed)) {
            lines.push(`known red: ${entry.test} (issue ${entry.issue}): ${entry.seen} [${entry.command}]`);
            continue;
        }
        failed += 1;
        const reason = own.length === 0 ? "names no test" : "passes now; take its entry out";
        lines.push(`KNOWN-RED.txt: the entry "${entry.test}" ${reason}`);
    }
    return { passed: unlisted.filter(outcome => outcome.passed).length, failed, lines };
}
