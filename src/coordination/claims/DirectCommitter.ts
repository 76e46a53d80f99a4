import type { ShardCommitter } from "./ShardCommitter.js";
import type { ShardWriterContext } from "./ShardWriter.js";

import { ShardWriter } from "./ShardWriter.js";

/** Creates a committer that writes each shard to the store itself. */
export function createDirectCommitter(context: ShardWriterContext): ShardCommitter {
    const writers = new Map<number, ShardWriter>();

    function getWriter(shard: number): ShardWriter {
        const existing = writers.get(shard);
        if (existing) {
            return existing;
        }
        const writer = new ShardWriter(shard, context);
        writers.set(shard, writer);
        return writer;
    }

    return {
        submit: (shard, operation, options) => getWriter(shard).submit(operation, options),
        stop: () => writers.forEach(writer => writer.stop()),
    };
}
