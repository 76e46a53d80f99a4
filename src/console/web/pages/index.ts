export {
    renderConvergence,
    renderConvergenceFailure,
    renderConvergencePage,
    renderEmptyStore,
} from "./ConvergencePage.js";
export { renderDocumentPage, renderImportPage } from "./DocumentPages.js";
export { NO_FINDINGS, renderEditPage } from "./EditPage.js";
export { renderHistoryPage, renderVersionPage } from "./HistoryPages.js";
export {
    renderAbsentPage,
    renderErrorPage,
    renderRefusedPage,
    renderStoreDownPage,
    renderUnchangedPage,
    renderUnknownPage,
    renderUnreadablePage,
} from "./OutcomePages.js";
export { renderConflictPage, renderInvalidDraftPage, renderReviewPage } from "./ReviewPages.js";
export { renderEndedSessionPage, renderSignInPage } from "./SignInPage.js";
