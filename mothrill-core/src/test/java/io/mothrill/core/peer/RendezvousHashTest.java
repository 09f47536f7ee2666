package io.mothrill.core.peer;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.platform.InstanceRecord;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {

  private static InstanceRecord instance(int number) {
    return new InstanceRecord("e-" + number, "e-" + number, "konya", "::1", 1, false);
  }

  @Test
  void rankOfInstanceMatchesItsPositionInRanking() {
    List<InstanceRecord> all =
        IntStream.range(0, 20).mapToObj(RendezvousHashTest::instance).toList();
    List<InstanceRecord> ranked = RendezvousHash.rank("i-1@5", all);

    for (InstanceRecord one : all) {
      List<InstanceRecord> others = all.stream().filter(other -> !other.equals(one)).toList();
      assertThat(RendezvousHash.rankOf("i-1@5", one, others)).isEqualTo(ranked.indexOf(one));
    }
  }
}
