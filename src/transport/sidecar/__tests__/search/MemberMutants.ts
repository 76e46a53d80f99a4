/** Mutants of how daemons come to know each other. */
import type { Mutant } from "./Mutants.js";

const REGISTRY = "src/transport/directory/MemberRegistry.ts";
const GOSSIP = "src/transport/directory/MemberGossip.ts";

export const MEMBER_MUTANTS: readonly Mutant[] = [
    {
        file: REGISTRY,
        from: "                this.merge(members);\n",
        name: "the records of the others aren't read at the start",
        to: "",
    },
    {
        file: GOSSIP,
        from: "this.announce(this.#options.merge(records), id);",
        name: "records of members aren't passed on",
        to: "this.#options.merge(records);",
    },
    {
        file: GOSSIP,
        from: "if (membersDigest === table.getDigest() ||",
        name: "records of members are never compared",
        to: "if (membersDigest >= -Infinity ||",
    },
    {
        file: REGISTRY,
        from: "await this.#restorer.restore(era);",
        name: "records that a restored store lacks aren't written again",
        to: "",
    },
    {
        file: REGISTRY,
        from: "if (previous !== undefined && this.#idsByAddress.get(formatAddress(previous)) === member.id) {",
        name: "the former address of a member stays its own",
        to: "if (previous === member) {",
    },
    {
        file: "src/transport/sessions/SessionManager.ts",
        from: "this.#options.onMembers([message.member]);",
        name: "the record of a daemon that connects isn't taken",
        to: "",
    },
];
