/**
 * Infers which prompt parts end upstreams. A part is suspected when an upstream
 * ends before it has begun to answer a request with that part, and proven sound
 * when any upstream answers a request with it. Parts that two ends have in
 * common are blamed: requests that have all of them are refused.
 */
import {BlameEnd, createBlameTable} from './blame-table';
import type {Blame} from './blame-table';
import {
  MIN_ENDINGS,
  findCommonParts,
  hasAllParts,
  isSuspectedOf,
  listSupport,
} from './common-parts';
import {createEndingTable} from './ending-table';
import type {Ending, Suspects} from './ending-table';
import {createSoundParts} from './sound-parts';
import type {
  EndedRequest,
  PoisonReport,
  ReportedBlame,
  RequestVerdict,
} from './types';

/** What `createPoisonTracker` needs. */
export interface PoisonTrackerOptions {
  /** Whether this gateway runs the tests of the blamed parts. */
  isTrialOwner(parts: readonly string[]): boolean;
  onBlame(parts: readonly string[], upstreams: readonly string[]): void;
  onLift(parts: readonly string[], end: BlameEnd): void;
  /** Called when the report has news for the peers. */
  onNews(): void;
}

/** Evidence of one gateway and of its peers. */
export interface PoisonTracker {
  /** Records that an upstream answered a request with these parts. */
  recordAnswer(parts: readonly string[], nowMs: number): void;
  /** Records an end with the requests that the upstream had not answered. */
  recordEnding(
    upstream: string,
    requests: readonly EndedRequest[],
    nowMs: number,
  ): void;
  /** Lists the parts that were not seen in an answered request. */
  listUnproven(parts: readonly string[], nowMs: number): string[];
  /** Whether a request with all of the parts is refused, without a test. */
  isBlamed(parts: readonly string[]): boolean;
  /** Decides on a request that is about to be sent. */
  checkPrompt(parts: readonly string[], nowMs: number): RequestVerdict;
  updatePeer(report: PoisonReport, nowMs: number): void;
  describe(nowMs: number): PoisonReport;
  countBlames(): number;
}

/** Time until the test of a blame, and of one among several alternatives. */
const TRIAL_DELAY_MS = 30_000;
const AMBIGUOUS_TRIAL_DELAY_MS = 5_000;
const MAX_TRIAL_DELAY_MS = 600_000;
/** A test without a result after this time is given up. */
const TRIAL_TIMEOUT_MS = 10_000;
const MIN_RETRY_AFTER_MS = 1_000;
/** Time for which an answer is reported to peers that suspect its parts. */
const SOUND_REPORT_MS = 10_000;
/** Bounds of the report. */
const MAX_REPORTED_ENDINGS = 8;
const MAX_REPORTED_SOUND = 64;

const NOT_REFUSED: RequestVerdict = {
  isRefused: false,
  retryAfterMs: 0,
  isTrial: false,
};

/** Creates a tracker without evidence. */
export function createPoisonTracker(
  options: PoisonTrackerOptions,
): PoisonTracker {
  const sound = createSoundParts();
  const endings = createEndingTable();
  const blames = createBlameTable();
  /** Sound parts that a gateway suspects, with the time of the report's end. */
  const reportedSound = new Map<string, number>();

  const lift = (blame: Blame, end: BlameEnd, nowMs: number): void => {
    blame.isLifted = true;
    blame.lastUsedAtMs = nowMs;
    options.onLift(blame.parts, end);
    options.onNews();
  };

  const addBlame = (
    parts: readonly string[],
    upstreams: readonly string[],
    delayMs: number,
    nowMs: number,
  ): void => {
    const known = blames.get(parts);
    if (known !== undefined && !known.isLifted) {
      for (const upstream of upstreams) known.upstreams.add(upstream);
      return;
    }
    const active = blames.listActive();
    // A request with these parts is refused already.
    if (active.some(other => hasAllParts(parts, other.parts))) return;
    for (const wider of active) {
      if (hasAllParts(wider.parts, parts)) blames.remove(wider);
    }
    blames.put({
      parts,
      episode: (known?.episode ?? 0) + 1,
      isLifted: false,
      trialAtMs: nowMs + delayMs,
      trialStartedAtMs: undefined,
      upstreams: new Set(upstreams),
      lastUsedAtMs: nowMs,
    });
    options.onBlame(parts, upstreams);
    options.onNews();
  };

  /** Replaces a blame by one of fewer parts. */
  const narrowBlame = (
    blame: Blame,
    parts: readonly string[],
    nowMs: number,
  ): void => {
    blames.remove(blame);
    addBlame(
      parts,
      [...blame.upstreams],
      Math.max(0, blame.trialAtMs - nowMs),
      nowMs,
    );
  };

  const isSuspected = (part: string): boolean =>
    endings.hasSuspect(part) ||
    blames.listActive().some(({parts}) => parts.includes(part));

  const reportSound = (part: string, nowMs: number): void => {
    const isNews = !reportedSound.has(part);
    reportedSound.delete(part);
    reportedSound.set(part, nowMs + SOUND_REPORT_MS);
    if (isNews) options.onNews();
  };

  /** Whether the other blame stands for each of the ends, and for more. */
  const isExplainedBy = (
    upstreams: ReadonlySet<string>,
    other: Blame,
  ): boolean =>
    upstreams.size > 0 &&
    upstreams.size < other.upstreams.size &&
    [...upstreams].every(upstream => other.upstreams.has(upstream));

  /** Attributes a further end to a blame that holds; true if one explains it. */
  const attributeEnding = (ending: Ending, nowMs: number): boolean => {
    const active = blames.listActive();
    const cause = active.find(
      ({parts, upstreams}) =>
        !upstreams.has(ending.upstream) && isSuspectedOf(ending, parts),
    );
    if (cause === undefined) return false;
    cause.upstreams.add(ending.upstream);
    const {trialStartedAtMs} = cause;
    if (trialStartedAtMs !== undefined && ending.atMs >= trialStartedAtMs) {
      cause.trialStartedAtMs = undefined;
      cause.episode += 1;
      const delayMs = TRIAL_DELAY_MS * 2 ** (cause.episode - 1);
      cause.trialAtMs = nowMs + Math.min(MAX_TRIAL_DELAY_MS, delayMs);
      options.onNews();
    }
    for (const other of active) {
      if (!isExplainedBy(other.upstreams, cause)) continue;
      lift(other, BlameEnd.ExplainedByOther, nowMs);
    }
    return true;
  };

  const blameCommonParts = (ending: Ending, nowMs: number): void => {
    const found = findCommonParts(ending, endings.list(nowMs)).filter(
      ({upstreams}) =>
        !blames
          .listActive()
          .some(blame => isExplainedBy(new Set(upstreams), blame)),
    );
    const delayMs =
      found.length > 1 ? AMBIGUOUS_TRIAL_DELAY_MS : TRIAL_DELAY_MS;
    for (const {parts, upstreams} of found) {
      addBlame(parts, upstreams, delayMs, nowMs);
    }
  };

  /** Lifts blames that rest on requests which are not suspected any more. */
  const liftUnsupported = (ending: Ending, nowMs: number): void => {
    for (const blame of blames.listActive()) {
      if (!blame.upstreams.has(ending.upstream)) continue;
      if (isSuspectedOf(ending, blame.parts)) continue;
      const hadEnough = blame.upstreams.size >= MIN_ENDINGS;
      blame.upstreams.delete(ending.upstream);
      if (!hadEnough || blame.upstreams.size >= MIN_ENDINGS) continue;
      lift(blame, BlameEnd.ExplainedByOther, nowMs);
    }
  };

  const evaluateEnding = (ending: Ending, nowMs: number): void => {
    liftUnsupported(ending, nowMs);
    if (!attributeEnding(ending, nowMs)) blameCommonParts(ending, nowMs);
  };

  const clearPart = (part: string, nowMs: number): void => {
    const changed = endings.clearPart(part);
    for (const blame of blames.listActive()) {
      if (!blame.parts.includes(part)) continue;
      const rest = blame.parts.filter(other => other !== part);
      if (rest.length === 0) lift(blame, BlameEnd.FoundSound, nowMs);
      else narrowBlame(blame, rest, nowMs);
    }
    for (const ending of changed) evaluateEnding(ending, nowMs);
  };

  /** Reports the sound ones among the parts that a peer suspects. */
  const correctPeer = (parts: readonly string[], nowMs: number): void => {
    for (const part of parts) {
      if (sound.has(part, nowMs)) reportSound(part, nowMs);
    }
  };

  const mergeEnding = (
    upstream: string,
    atMs: number,
    requests: readonly EndedRequest[],
    isOwn: boolean,
    nowMs: number,
  ): void => {
    const suspects: Suspects = {begun: [], waiting: []};
    for (const {parts, hasBegun} of requests) {
      const unproven = sound.listUnproven(parts, nowMs);
      if (!isOwn) correctPeer(parts, nowMs);
      if (unproven.length === 0) continue;
      (hasBegun ? suspects.begun : suspects.waiting).push(unproven);
    }
    const ending = endings.merge(upstream, atMs, suspects, isOwn);
    if (ending === undefined) return;
    if (isOwn) options.onNews();
    evaluateEnding(ending, nowMs);
  };

  const adoptBlame = (
    [reported, episode, isLifted, trialInMs]: ReportedBlame,
    nowMs: number,
  ): void => {
    const parts = sound.listUnproven(reported, nowMs);
    const known = blames.get(parts.length === 0 ? reported : parts);
    if (known === undefined) {
      if (isLifted) return;
      if (parts.length === 0) {
        for (const part of reported) reportSound(part, nowMs);
        return;
      }
      const upstreams = listSupport(parts, endings.list(nowMs)).map(
        ({upstream}) => upstream,
      );
      addBlame(parts, upstreams, trialInMs, nowMs);
      const added = blames.get(parts);
      if (added !== undefined) added.episode = episode;
      return;
    }
    if (episode < known.episode) return;
    if (episode > known.episode) {
      if (!isLifted && known.isLifted) options.onBlame(known.parts, []);
      known.episode = episode;
      known.trialAtMs = nowMs + trialInMs;
      known.trialStartedAtMs = undefined;
      if (!isLifted) known.isLifted = false;
      known.lastUsedAtMs = nowMs;
    }
    if (isLifted && !known.isLifted) lift(known, BlameEnd.LiftedByPeer, nowMs);
  };

  const mayStartTrial = (blame: Blame, nowMs: number): boolean => {
    const {trialAtMs, trialStartedAtMs} = blame;
    if (nowMs < trialAtMs) return false;
    const isRunning =
      trialStartedAtMs !== undefined &&
      nowMs - trialStartedAtMs < TRIAL_TIMEOUT_MS;
    return !isRunning && options.isTrialOwner(blame.parts);
  };

  return {
    recordAnswer: (parts, nowMs) => {
      for (const part of parts) {
        const wasSound = sound.has(part, nowMs);
        sound.add(part, nowMs);
        if (wasSound || !isSuspected(part)) continue;
        clearPart(part, nowMs);
        reportSound(part, nowMs);
      }
    },
    recordEnding: (upstream, requests, nowMs) =>
      mergeEnding(upstream, nowMs, requests, true, nowMs),
    listUnproven: (parts, nowMs) => sound.listUnproven(parts, nowMs),
    isBlamed: parts =>
      blames.listActive().some(blame => hasAllParts(parts, blame.parts)),
    checkPrompt: (parts, nowMs) => {
      const matched = blames
        .listActive()
        .filter(blame => hasAllParts(parts, blame.parts));
      if (matched.length === 0) return NOT_REFUSED;
      for (const blame of matched) blame.lastUsedAtMs = nowMs;
      const refusing = matched.filter(blame => !mayStartTrial(blame, nowMs));
      if (refusing.length > 0) {
        const trialAtMs = Math.max(...refusing.map(blame => blame.trialAtMs));
        const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, trialAtMs - nowMs);
        return {isRefused: true, retryAfterMs, isTrial: false};
      }
      for (const blame of matched) blame.trialStartedAtMs = nowMs;
      return {isRefused: false, retryAfterMs: 0, isTrial: true};
    },
    updatePeer: (report, nowMs) => {
      for (const part of report.sound) {
        const wasSound = sound.has(part, nowMs);
        sound.add(part, nowMs);
        if (!wasSound) clearPart(part, nowMs);
      }
      for (const blame of report.blames) adoptBlame(blame, nowMs);
      for (const [upstream, ageMs, begun, waiting] of report.endings) {
        const requests = [
          ...begun.map(parts => ({parts, hasBegun: true})),
          ...waiting.map(parts => ({parts, hasBegun: false})),
        ];
        mergeEnding(upstream, nowMs - ageMs, requests, false, nowMs);
      }
    },
    describe: nowMs => {
      for (const [part, untilMs] of [...reportedSound]) {
        if (nowMs >= untilMs) reportedSound.delete(part);
      }
      return {
        endings: endings
          .list(nowMs)
          .filter(({own}) => own.begun.length + own.waiting.length > 0)
          .slice(-MAX_REPORTED_ENDINGS)
          .map(({upstream, atMs, own}) => [
            upstream,
            Math.round(nowMs - atMs),
            own.begun.map(suspect => [...suspect]),
            own.waiting.map(suspect => [...suspect]),
          ]),
        sound: [...reportedSound.keys()].slice(-MAX_REPORTED_SOUND),
        blames: blames
          .list(nowMs)
          .map(({parts, episode, isLifted, trialAtMs}) => [
            [...parts],
            episode,
            isLifted,
            Math.max(0, Math.round(trialAtMs - nowMs)),
          ]),
      };
    },
    countBlames: () => blames.listActive().length,
  };
}
