/**
 * Crowd of rough callers in a process of its own, so that it does not hold up the ordinary callers of a test.
 *
 * Usage: `node rough_crowd.js ADDRESS PATH HEADERS INPUT COUNT`, with the header lines as JSON. It leaves when its standard input ends.
 *
 * @module
 */

import { parseRoughInput, RoughCallers } from "../support/rough_callers.js";

const [address = "", path = "", headers = "[]", input = "", count = "0"] = process.argv.slice(2);
const callers = new RoughCallers(address, path, parseRoughInput(input), JSON.parse(headers) as readonly string[]);
process.stdin.on("end", () => process.exit()).resume();
await callers.start(Number(count));
process.stdout.write("started\n");
