/** Exit codes of the command line, listed in docs/cli.md. They don't change between releases. */
export const ExitCode = {
    Success: 0,
    /** Nothing was changed; the message gives the reason. */
    Failed: 1,
    /** The command line is wrong, or a file can't be read. */
    Usage: 2,
    /** The document has findings. */
    Refused: 3,
    /** Another version was accepted first. */
    Conflict: 4,
    /** The store became unreachable before it was known whether the version was accepted. */
    Unknown: 5,
    /** The store or the daemon did not answer. */
    Unreachable: 6,
    /** The version was not in force on all daemons before the timeout. */
    NotConverged: 7,
    /** The version, service, route or request does not exist. */
    NotFound: 8,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Fails a command with an exit code and a message for the operator. */
export class CommandFailure extends Error {
    override readonly name = "CommandFailure";

    constructor(readonly exitCode: ExitCode, message: string) {
        super(message);
    }
}
