/** Executable of the stand-in store. */
import { defineCommand, runMain } from "citty";
import { startStoreServer } from "./StoreServer.js";

const command = defineCommand({
    args: {
        host: { default: "127.0.0.1", description: "Address to listen on.", type: "string" },
        port: { default: "7400", description: "Port to listen on; 0 for a free one.", type: "string" },
        "reads-per-second": { default: "2000", description: "Reads and watches accepted.", type: "string" },
        "writes-per-second": { default: "500", description: "Writes and deletions accepted.", type: "string" },
    },
    meta: { description: "Stand-in for the platform's store; see docs/store.md.", name: "store" },
    async run({ args }) {
        const server = await startStoreServer({
            host: args.host,
            port: Number(args.port),
            readsPerSecond: Number(args["reads-per-second"]),
            writesPerSecond: Number(args["writes-per-second"]),
        });
        process.stdout.write(`store: listening on ${server.url}.\n`);
        for (const signal of ["SIGINT", "SIGTERM"] as const) {
            process.once(signal, () => void server.close());
        }
    },
});

await runMain(command);
