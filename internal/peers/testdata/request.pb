)berth-0ab €ä—Ð(0:

bigaberth-1Jvm-1"req-1(0	