/** Tokens that coordinators granted to this process. */
import type {MessageType, MessageOf} from '@siskinplank/messages';

/** Changes of one grant since the last report. */
export type GrantReport = MessageOf<MessageType.GrantReturn>['reports'][number];

/** Tokens of a reservation that were taken from one grant. */
export interface GrantPart {
  requestId: string;
  tokens: number;
}

interface HeldGrant {
  requestId: string;
  /** Name and incarnation of the coordinator. */
  coordinator: string;
  tokens: number;
  endMs: number;
  report: GrantReport;
}

/** Grants of one account; the grant that ends first is spent first. */
export interface HeldGrants {
  addGrant(
    requestId: string,
    coordinator: string,
    tokens: number,
    endMs: number,
  ): void;
  countTokens(nowMs: number): number;
  /** Takes up to `tokens` tokens, from the grant that ends first on. */
  spendTokens(tokens: number, nowMs: number): readonly GrantPart[];
  /**
   * Gives unused tokens of a reservation back: to the grant if they are not
   * reported as spent yet, else to the coordinator with the next report.
   */
  refundPart(requestId: string, tokens: number, nowMs: number): void;
  /** Gives up all unspent tokens; the next reports return them. */
  returnAllGrants(nowMs: number): void;
  /** Gives up the unspent tokens of one coordinator's grants. */
  returnGrantsTo(coordinator: string, nowMs: number): void;
  /** Coordinators whose grants still have unspent tokens. */
  listCoordinators(nowMs: number): ReadonlySet<string>;
  /** Takes the changes not yet reported to a coordinator. */
  takeReports(coordinator: string): GrantReport[];
  /** Coordinators with unreported changes. */
  listUnreportedCoordinators(): ReadonlySet<string>;
  /** Removes grants that ended before `beforeMs`. */
  removeEndedGrants(beforeMs: number): void;
}

const isReportEmpty = (report: GrantReport): boolean =>
  report.spentTokens === 0 &&
  report.returnedTokens === 0 &&
  report.refundedTokens === 0;

const makeReport = (requestId: string): GrantReport => ({
  requestId,
  spentTokens: 0,
  returnedTokens: 0,
  refundedTokens: 0,
});

/** Creates an empty collection of grants for one account. */
export function createHeldGrants(): HeldGrants {
  const grants = new Map<string, HeldGrant>();
  const listValid = (nowMs: number): HeldGrant[] =>
    [...grants.values()].filter(
      grant => nowMs < grant.endMs && grant.tokens > 0,
    );
  const returnGrants = (returned: readonly HeldGrant[]): void => {
    for (const grant of returned) {
      grant.report.returnedTokens += grant.tokens;
      grant.tokens = 0;
    }
  };
  return {
    addGrant: (requestId, coordinator, tokens, endMs) => {
      const report = makeReport(requestId);
      grants.set(requestId, {requestId, coordinator, tokens, endMs, report});
    },
    countTokens: nowMs => {
      let sum = 0;
      for (const grant of grants.values()) {
        if (nowMs < grant.endMs) sum += grant.tokens;
      }
      return sum;
    },
    spendTokens: (tokens, nowMs) => {
      const parts: GrantPart[] = [];
      let missing = tokens;
      for (const grant of listValid(nowMs).sort((a, b) => a.endMs - b.endMs)) {
        if (missing <= 0) break;
        const taken = Math.min(grant.tokens, missing);
        grant.tokens -= taken;
        grant.report.spentTokens += taken;
        missing -= taken;
        parts.push({requestId: grant.requestId, tokens: taken});
      }
      return parts;
    },
    refundPart: (requestId, tokens, nowMs) => {
      const grant = grants.get(requestId);
      if (grant === undefined) return;
      // Tokens not yet reported as spent still count as outstanding at the
      // coordinator, so they may be spent again from the same grant.
      const unreported =
        nowMs < grant.endMs ? Math.min(tokens, grant.report.spentTokens) : 0;
      grant.tokens += unreported;
      grant.report.spentTokens -= unreported;
      grant.report.refundedTokens += tokens - unreported;
    },
    returnAllGrants: nowMs => returnGrants(listValid(nowMs)),
    returnGrantsTo: (coordinator, nowMs) =>
      returnGrants(
        listValid(nowMs).filter(grant => grant.coordinator === coordinator),
      ),
    listCoordinators: nowMs =>
      new Set(listValid(nowMs).map(grant => grant.coordinator)),
    takeReports: coordinator => {
      const reports: GrantReport[] = [];
      for (const grant of grants.values()) {
        if (grant.coordinator !== coordinator) continue;
        if (isReportEmpty(grant.report)) continue;
        reports.push(grant.report);
        grant.report = makeReport(grant.requestId);
      }
      return reports;
    },
    listUnreportedCoordinators: () => {
      const names = new Set<string>();
      for (const grant of grants.values()) {
        if (!isReportEmpty(grant.report)) names.add(grant.coordinator);
      }
      return names;
    },
    removeEndedGrants: beforeMs => {
      for (const [requestId, grant] of grants) {
        if (grant.endMs < beforeMs) grants.delete(requestId);
      }
    },
  };
}
