/**
 * Bundles the relay node into two files, which start with a tenth of the system calls: `relay_node.cjs`, the program, and `entry.cjs`,
 * which runs it from stored compiled code. The program is CommonJS, as the code of a module cannot be stored.
 *
 * The files are written beside the old ones and renamed, so that a process that starts meanwhile reads whole ones.
 *
 * Usage: `node bundle.js FOLDER`
 *
 * @module
 */

import { build } from "esbuild";
import { mkdir, rename, writeFile } from "node:fs/promises";
import { join } from "node:path";

const folder = process.argv[2];
const settings = { bundle: true, platform: "node", target: "node20", logLevel: "warning", write: false };
await bundle("relay_node.cjs", {
    entryPoints: ["platform/main.ts"],
    format: "cjs",
    // `entry.cjs` calls the program as a function of these parameters.
    banner: { js: "(function (module, require) {" },
    footer: { js: "})" },
});
// The loader of modules would take longer than all that comes before the handlers of signals are installed.
await bundle("entry.cjs", { entryPoints: ["platform/entry.ts"], format: "cjs" });

/** Writes one bundle. */
async function bundle(name, options) {
    const { outputFiles } = await build({ ...settings, ...options });
    const file = join(folder, name);
    await mkdir(folder, { recursive: true });
    await writeFile(`${file}.new`, outputFiles[0].contents);
    await rename(`${file}.new`, file);
}
