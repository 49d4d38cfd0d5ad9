import type {CallRecord} from '@siskinplank/platform-stand-ins';
import {ProxyDirection} from '@siskinplank/stand-ins';
import type {OriginRecord} from '@siskinplank/stream-origins';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import type {SoakGateway} from './gateways';
import {FLEET_KEY} from './testing/gateway-fleet';
import {
  NEW,
  OLD,
  buildGatewayBundle,
  assertMostComplete,
  assertNoneJoined,
  describeRecord,
  getVersion,
  selectResumable,
  startVersionFleet,
  waitUntil,
} from './testing/resumed-streams';
import type {
  GatewayBundle,
  ResumedPair,
  VersionFleet,
} from './testing/resumed-streams';
import {wait} from './testing/single-gateway';

/** A rule on resumed streams holds for so many or more. */
const STREAM_COUNT = 12;
/** Streams of 3 s at least, since an event takes 25 ms. */
const EVENT_COUNT = 120;
/** Longer than a configuration stays fresh. */
const LONG_EVENT_COUNT = 200;
/** Two periods of messages at up to four gateways. */
const SENT_MS = 200;
/** Events of a stream that began more than one period of messages earlier. */
const EARLIER_EVENTS = 5;
/** A request waits for the store for 0.5 s at most. */
const MAX_WAIT_MS = 500;
const MAX_REFUSAL_MS = 600;
/** Age from which the configuration of a gateway is not fresh. */
const READY_AGE_MS = 3_500;
const FRESH_AGE_MS = 300;
/** Delay of messages; a gateway that is silent for 0.7 s is not responsive. */
const LATE_LINK_MS = 400;
const REQUEST_ENDED = 6030;

describe('streams before two versions and a gateway out of step', () => {
  let bundle: GatewayBundle;
  let fleet: VersionFleet;

  beforeAll(async () => {
    bundle = await buildGatewayBundle();
  }, 60_000);

  afterAll(() => bundle.remove());

  afterEach(() => fleet.close());

  const start = async (
    gatewayCount: number,
    eventCount = EVENT_COUNT,
  ): Promise<void> => {
    fleet = await startVersionFleet({
      bundle,
      gatewayCount,
      versions: [OLD, OLD],
      eventCount,
      hasLinkProxies: true,
    });
  };

  /** Whether a gateway has stored that it knows both versions. */
  const hasSeenBoth = ({name}: SoakGateway): boolean => {
    const record = fleet.store
      .takeCopy()
      .objects.get(`siskinplank-stream-origins/${name}`);
    const {versions} = (record?.spec ?? {versions: {}}) as OriginRecord;
    return versions['engines']?.length === 2;
  };

  /** Adds an upstream of the new version; resolves once gateways know it. */
  const joinNew = async (witnesses: readonly SoakGateway[]): Promise<void> => {
    await fleet.addVersion(NEW);
    expect(await waitUntil(() => witnesses.every(hasSeenBoth))).toBe(true);
  };

  /** Counts the attempts with a prefix that gateways have stored. */
  const countStored = (prefix: string): number =>
    [...fleet.store.takeCopy().objects]
      .filter(([key]) => key.startsWith('siskinplank-stream-origins/'))
      .map(([, {spec}]) => JSON.stringify(spec).split(`"${prefix}`).length - 1)
      .reduce((sum, count) => sum + count, 0);

  const stallStore = (gateway: SoakGateway): void =>
    gateway.storeProxy.applyFault({stall: ProxyDirection.Both});

  /** The gateway of the highest name accepts all links to it. */
  const stallLinks = (gateway: SoakGateway): void =>
    gateway.linkProxy?.applyFault({stall: ProxyDirection.Both});

  const readConfigurationAgeMs = async (
    gateway: SoakGateway,
  ): Promise<number> =>
    1_000 *
    (await fleet.readMetric(gateway, 'gateway_configuration_age_seconds'));

  /** Waits until a gateway has just confirmed its configuration. */
  const awaitFresh = async (gateway: SoakGateway): Promise<void> => {
    let version = 1;
    const isFresh = async (): Promise<boolean> => {
      // A change ends the watch, whose answer else takes 1.5 s.
      version += 1;
      fleet.putKeys(version, [FLEET_KEY]);
      return (await readConfigurationAgeMs(gateway)) < FRESH_AGE_MS;
    };
    expect(await waitUntil(isFresh)).toBe(true);
  };

  /** Waits until a gateway knows the origins of so many streams. */
  const awaitOrigins = async (
    gateway: SoakGateway,
    count: number,
  ): Promise<void> => {
    const knowsAll = async (): Promise<boolean> =>
      (await fleet.readMetric(gateway, 'gateway_stream_origins')) >= count;
    const isKnown = await waitUntil(knowsAll);
    expect(isKnown, fleet.ended.map(describeRecord).join('\n')).toBe(true);
  };

  /** Begins streams at one gateway; resolves some time after their first events. */
  const beginStreams = async (
    gateway: SoakGateway,
  ): Promise<Array<Promise<CallRecord>>> => {
    const streams = await fleet.beginStreams('s', STREAM_COUNT, [gateway]);
    await awaitOrigins(gateway, STREAM_COUNT);
    await wait(SENT_MS);
    return streams;
  };

  /** Begins streams at one gateway, and breaks them by its end. */
  const breakStreams = async (gateway: SoakGateway): Promise<CallRecord[]> => {
    const streams = await beginStreams(gateway);
    await fleet.killGateways([gateway]);
    return selectResumable(await Promise.all(streams));
  };

  const selectLost = (pairs: readonly ResumedPair[]): ResumedPair[] =>
    pairs.filter(
      ({again: {status, isComplete}}) => status !== 200 || !isComplete,
    );

  const selectEarlier = (pairs: readonly ResumedPair[]): CallRecord[] =>
    pairs
      .filter(({first: {lastEventId = 0}}) => lastEventId >= EARLIER_EVENTS)
      .map(({again}) => again);

  const expectRefused = (
    pairs: readonly ResumedPair[],
    maxMs: number,
  ): void => {
    const attempts = pairs.map(({again}) => again);
    const late = attempts.filter(
      ({status, sentAtMs, endedAtMs}) =>
        status !== 503 || endedAtMs - sentAtMs >= maxMs,
    );
    expect(late.map(describeRecord)).toEqual([]);
    const refused = new Set(attempts.map(({attemptId}) => attemptId));
    expect(
      fleet.history.arrivals.filter(({attemptId}) => refused.has(attemptId)),
    ).toEqual([]);
  };

  /** Resumes streams of both versions at gateways that can't know them. */
  const expectAllRefused = async (
    broken: readonly CallRecord[],
    receivers: readonly SoakGateway[],
  ): Promise<void> => {
    expect(new Set(broken.map(getVersion))).toEqual(new Set([OLD, NEW]));
    const pairs = await fleet.resumeAll('again-', broken, receivers);
    assertNoneJoined(pairs);
    expectRefused(pairs, MAX_REFUSAL_MS);
    const later = await fleet.resumeAll('later-', broken, receivers);
    assertNoneJoined(later);
    expectRefused(later, MAX_WAIT_MS);
  };

  // Guards against streams lost whose gateway can't name their version any more.
  it('go on though their gateway froze before the second version came', async () => {
    await start(3);
    const [frozen, ...others] = fleet.gateways;
    const streams = await beginStreams(frozen);
    frozen.send('SIGSTOP');
    await joinNew(others);
    const broken = selectResumable(await Promise.all(streams));
    const pairs = await fleet.resumeAll('again-', broken, others);
    assertNoneJoined(pairs);
    assertMostComplete(selectEarlier(pairs));
  }, 60_000);

  // Guards against streams that the others know and the next process does not.
  it('go on at the next process of a gateway killed before the second version', async () => {
    await start(2);
    const [killed, other] = fleet.gateways;
    const broken = await breakStreams(killed);
    await joinNew([other]);
    await fleet.startGateways([killed]);
    const pairs = await fleet.resumeAll('again-', broken, [killed]);
    assertNoneJoined(pairs);
    assertMostComplete(selectEarlier(pairs));
  }, 60_000);

  // Guards against a gateway that takes old news for the absence of news.
  it('are refused by a gateway cut off before the second version came', async () => {
    await start(2);
    const [inTouch, cut] = fleet.gateways;
    await awaitFresh(cut);
    stallStore(cut);
    stallLinks(cut);
    await joinNew([inTouch]);
    await expectAllRefused(await breakStreams(inTouch), [cut]);
  }, 60_000);

  // Guards against two gateways that take each other's life for being in touch.
  it('are refused by gateways that only hear each other', async () => {
    await start(3, LONG_EVENT_COUNT);
    const [cut, alsoCut, inTouch] = fleet.gateways;
    stallStore(cut);
    stallStore(alsoCut);
    stallLinks(inTouch);
    await joinNew([inTouch]);
    const streams = await beginStreams(inTouch);
    const isStale = async (): Promise<boolean> =>
      (await readConfigurationAgeMs(cut)) >= READY_AGE_MS;
    expect(await waitUntil(isStale)).toBe(true);
    await fleet.killGateways([inTouch]);
    const broken = selectResumable(await Promise.all(streams));
    await expectAllRefused(broken, [cut]);
  }, 60_000);

  // Guards against answers from before a pause that are taken for news.
  it.each([
    ['before its links close', {areLinksStalled: false}],
    ['without news from its peers', {areLinksStalled: true}],
  ])(
    'go on at their versions at a gateway paused %s',
    async (_case, {areLinksStalled}) => {
      await start(2);
      const [other, paused] = fleet.gateways;
      await awaitFresh(paused);
      paused.send('SIGSTOP');
      if (areLinksStalled) stallLinks(paused);
      paused.storeProxy.applyFault({stall: ProxyDirection.ToClient});
      await joinNew([other]);
      const stored = await fleet.beginStreams('stored-', STREAM_COUNT, [other]);
      const isStored = (): boolean => countStored('stored-') === STREAM_COUNT;
      expect(await waitUntil(isStored)).toBe(true);
      const isAlone = async (): Promise<boolean> =>
        (await fleet.readMetric(other, 'gateway_peers')) === 0;
      expect(await waitUntil(isAlone)).toBe(true);
      const unsent = await fleet.beginStreams('new-', STREAM_COUNT, [other]);
      await awaitOrigins(other, 2 * STREAM_COUNT);
      await fleet.killGateways([other]);
      const known = selectResumable(await Promise.all(stored));
      const unknown = selectResumable(await Promise.all(unsent));
      expect(new Set(known.map(getVersion))).toEqual(new Set([OLD, NEW]));
      expect(unknown.map(getVersion)).toContain(NEW);
      const knownAgain = fleet.resumeAll('known-', known, [paused]);
      const unknownAgain = fleet.resumeAll('unknown-', unknown, [paused]);
      await wait(100);
      paused.send('SIGCONT');
      await wait(100);
      paused.storeProxy.clearFaults();
      const knownPairs = await knownAgain;
      assertNoneJoined(knownPairs);
      assertNoneJoined(await unknownAgain);
      // The record of a stream may arrive before the entry of its upstream.
      const refused = selectLost(knownPairs).map(({first}) => first);
      const retried = await fleet.resumeAll('retried-', refused, [paused]);
      assertNoneJoined(retried);
      const lost = selectLost(retried).map(({again}) => again);
      expect(lost.map(describeRecord)).toEqual([]);
    },
    60_000,
  );

  // Guards against streams refused that began by the only version, without a record.
  it('go on though their gateway ended before it could name their version', async () => {
    await start(2);
    const [other, killed] = fleet.gateways;
    killed.linkProxy?.applyFault({delayMs: LATE_LINK_MS});
    const streams = await fleet.beginStreams('s', STREAM_COUNT, [killed]);
    await awaitOrigins(killed, STREAM_COUNT);
    await fleet.killGateways([killed]);
    killed.linkProxy?.applyFault({cut: true});
    const broken = selectResumable(await Promise.all(streams));
    const pairs = await fleet.resumeAll('again-', broken, [other]);
    assertNoneJoined(pairs);
    assertMostComplete(pairs.map(({again}) => again));
    const isInferred = (): boolean =>
      other
        .readLog()
        .some(
          ({event, origin}) =>
            event === REQUEST_ENDED && origin === 'only-version',
        );
    expect(await waitUntil(isInferred)).toBe(true);
  }, 60_000);
}, 60_000);
