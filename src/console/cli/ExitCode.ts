/** Exit codes of the command line; docs/cli.md lists them. They don't change between releases. */
export const ExitCode = {
    Success: 0,
    /** Nothing was changed, for a reason that the message gives. */
    Failed: 1,
    /** The command line itself is wrong. */
    Usage: 2,
    /** The document has findings. */
    Refused: 3,
    /** Another version came first. */
    Conflict: 4,
    /** The store was lost while finding out whether the version was accepted. */
    Unknown: 5,
    /** The store or the daemon gave no answer. */
    Unreachable: 6,
    /** The version was not in force everywhere in time. */
    NotConverged: 7,
    /** The version, service, route or request does not exist. */
    NotFound: 8,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Ends a command with an exit code and a message for the operator. */
export class CommandFailure extends Error {
    override readonly name = "CommandFailure";

    constructor(readonly exitCode: ExitCode, message: string) {
        super(message);
    }
}
