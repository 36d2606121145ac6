/**
 * List of tests that are known to fail because of an open issue, and evaluation of a test run against it.
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
    /** Whether the test fails in some runs only, so that a run in which it passes is no error. */
    readonly isUnsteady: boolean;
}

/** Required fields of an entry. */
const ENTRY_FIELDS = ["test", "command", "seen", "issue"] as const;

/**
 * Parses the entries: blocks of lines `field: text`, separated by blank lines. Lines that start with `#` are comments. The field `unsteady`,
 * with what was measured, may be left out.
 *
 * @param text Content of the file.
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
    return {
        test: field("test"),
        command: field("command"),
        seen: field("seen"),
        issue: field("issue"),
        isUnsteady: fields.has("unsteady"),
    };
}

/** Outcome of one scenario. */
export interface TestOutcome {
    /** Feature and scenario, in the format of {@linkcode KnownFailure.test}. */
    readonly test: string;
    readonly passed: boolean;
}

/** Counts of a run, with its messages. */
export interface RunSummary {
    readonly passed: number;
    readonly failed: number;
    /** Messages about tolerated failures and about entries that count as failures. */
    readonly lines: readonly string[];
}

/**
 * Counts the passed and failed tests of a run. Failures of listed tests are tolerated; an entry whose test does not exist counts as a
 * failure, and so does one whose test passes unless it is unsteady.
 *
 * @param outcomes Outcome of each test; the examples of a scenario outline have the same name.
 * @param known Entries of `KNOWN-RED.txt`.
 */
export function evaluateRun(outcomes: readonly TestOutcome[], known: readonly KnownFailure[]): RunSummary {
    const listed = new Map(known.map(entry => [entry.test, entry]));
    const unlisted = outcomes.filter(outcome => !listed.has(outcome.test));
    const lines: string[] = [];
    let failed = unlisted.filter(outcome => !outcome.passed).length;
    for (const entry of known) {
        const matching = outcomes.filter(outcome => outcome.test === entry.test);
        if (matching.length > 0 && matching.some(outcome => !outcome.passed)) {
            lines.push(`known red: ${entry.test} (issue ${entry.issue}): ${entry.seen} [${entry.command}]`);
            continue;
        }
        if (matching.length > 0 && entry.isUnsteady) {
            lines.push(`known red, passed this time: ${entry.test} (issue ${entry.issue}): ${entry.seen} [${entry.command}]`);
            continue;
        }
        failed += 1;
        const reason = matching.length === 0 ? "matches no test" : "matches a test that passes; remove it";
        lines.push(`KNOWN-RED.txt: the entry "${entry.test}" ${reason}`);
    }
    return { passed: unlisted.filter(outcome => outcome.passed).length, failed, lines };
}
