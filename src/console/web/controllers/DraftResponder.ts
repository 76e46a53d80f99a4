/** Reviews and publishes drafts and sends the page for the result. */
import { Inject } from "@nestjs/common";
import type { FastifyReply } from "fastify";
import type { Finding } from "../../../state/document/index.js";
import type { Session } from "../access/index.js";
import type { Draft, EditTarget } from "../edits/index.js";
import { describeEdit } from "../edits/index.js";
import type { KnownNames } from "../forms/index.js";
import { buildFieldGroups, listKnownNames, mapFindingsToFields } from "../forms/index.js";
import {
    NO_FINDINGS,
    renderAbsentPage,
    renderConflictPage,
    renderEditPage,
    renderInvalidDraftPage,
    renderRefusedPage,
    renderReviewPage,
    renderUnchangedPage,
    renderUnknownPage,
    renderUnreadablePage,
} from "../pages/index.js";
import type { AcceptedDocument } from "../ports/index.js";
import type { PublicationResult } from "../publishing/index.js";
import { publishDraft, resolvePublication, reviewDraft } from "../publishing/index.js";
import type { ConsoleContext } from "./ConsoleContext.js";
import { CONSOLE_CONTEXT, sendPage } from "./ConsoleContext.js";

/** Content of an edit form. */
export interface FormContent {
    readonly baseVersion: number;
    readonly target: EditTarget;
    readonly isNew: boolean;
    /** Settings of the target, not validated yet. */
    readonly piece: unknown;
    readonly message: string;
}

const NO_KNOWN_NAMES: KnownNames = listKnownNames(undefined);

/** Renders an edit form with each finding beside its field. */
export function renderForm(
    session: Session,
    current: AcceptedDocument | undefined,
    content: FormContent,
    findings: readonly Finding[],
): string {
    const names = current === undefined ? NO_KNOWN_NAMES : listKnownNames(current.document);
    const groups = buildFieldGroups(content.target, content.piece, names);
    const formFindings = findings.length === 0 ? NO_FINDINGS : mapFindingsToFields(findings, content.target, groups);
    return renderEditPage({ ...content, groups, formFindings, session });
}

export class DraftResponder {
    constructor(@Inject(CONSOLE_CONTEXT) private readonly context: ConsoleContext) {}

    /** Sends the page that shows what a draft would change. */
    async review(reply: FastifyReply, session: Session, draft: Draft): Promise<void> {
        const reviewed = await reviewDraft(this.context.port, draft, session.operator);
        reviewed.caseOf({
            Left: failure => sendPage(reply, 503, renderUnreadablePage(session, draft, failure.detail, "/review")),
            Right: result => this.sendResult(reply, session, draft, result),
        });
    }

    async publish(reply: FastifyReply, session: Session, draft: Draft): Promise<void> {
        const result = await publishDraft(this.context.port, draft, session.operator);
        this.logResult(session, draft, result);
        this.sendResult(reply, session, draft, result);
    }

    /** Determines the outcome of a publication whose answer was lost. */
    async resolve(reply: FastifyReply, session: Session, draft: Draft): Promise<void> {
        const result = await resolvePublication(this.context.port, draft, session.operator);
        this.logResult(session, draft, result);
        this.sendResult(reply, session, draft, result);
    }

    private logResult(session: Session, draft: Draft, result: PublicationResult): void {
        const { operator } = session;
        const fields = { baseVersion: draft.baseVersion, operator, result: result.kind };
        const sentence = result.kind === "accepted"
            ? `${operator} published version ${result.version}: ${describeEdit(draft.edit)}.`
            : `publication by ${operator} on version ${draft.baseVersion} ended with the result ${result.kind}.`;
        this.context.logInfo(sentence, fields);
    }

    private sendResult(reply: FastifyReply, session: Session, draft: Draft, result: PublicationResult): FastifyReply {
        switch (result.kind) {
            case "ready":
                return sendPage(reply, 200, renderReviewPage(session, draft, result.changes));
            case "faulty":
                return this.sendFindings(reply, session, draft, result.current, result.findings);
            case "accepted":
                return reply.redirect(`/?published=${result.version}`, 303);
            case "unchanged":
                return sendPage(reply, 200, renderUnchangedPage(session, result.version));
            case "conflict":
                return sendPage(reply, 409, renderConflictPage(session, draft, result.conflict));
            case "refused":
                return sendPage(reply, 422, renderRefusedPage(session, draft, result.detail));
            case "unreadable":
                return sendPage(reply, 503, renderUnreadablePage(session, draft, result.detail, "/publish"));
            case "unknown":
                return sendPage(reply, 503, renderUnknownPage(session, draft, result.detail));
            case "absent":
                return sendPage(reply, 200, renderAbsentPage(session, draft));
        }
    }

    private sendFindings(
        reply: FastifyReply,
        session: Session,
        draft: Draft,
        current: AcceptedDocument | undefined,
        findings: readonly Finding[],
    ): FastifyReply {
        const { baseVersion, edit, message } = draft;
        const html = edit.kind === "set"
            ? renderForm(session, current, { ...edit, baseVersion, message }, findings)
            : renderInvalidDraftPage(session, draft, findings);
        return sendPage(reply, 422, html);
    }
}
